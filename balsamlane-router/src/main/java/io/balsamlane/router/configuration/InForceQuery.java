package io.balsamlane.router.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Supplier;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.RevisionQuery;
import io.vertx.core.Future;

/**
 * Query all routers for the revision that is in force on them.
 */
final class InForceQuery {

	/** A router that does not answer within this time is reported as missing. */
	private static final long TIMEOUT_MILLIS = 1000;

	private final PeerNetwork network;

	private final Supplier<? extends Collection<HostName>> listedRouters;

	private InForceQuery(PeerNetwork network, Supplier<? extends Collection<HostName>> listedRouters) {
		this.network = network;
		this.listedRouters = listedRouters;
	}

	/**
	 * Create a query.
	 * @param network the peer network
	 * @param listedRouters supplies the routers of the host list; an isolated router is
	 * no longer a member but still has to be reported
	 * @return the query
	 */
	static InForceQuery create(PeerNetwork network, Supplier<? extends Collection<HostName>> listedRouters) {
		return new InForceQuery(network, listedRouters);
	}

	Future<InForce> query(long revision) {
		TreeSet<HostName> hosts = new TreeSet<>(this.listedRouters.get());
		this.network.members().members().stream().map(Member::host).forEach(hosts::add);
		List<HostName> asked = List.copyOf(hosts);
		List<Future<Boolean>> answers = asked.stream().map((host) -> query(host, revision)).toList();
		return Future.join(answers).map((completed) -> {
			List<HostName> inForce = new ArrayList<>();
			List<HostName> missing = new ArrayList<>();
			for (int index = 0; index < asked.size(); index++) {
				(answers.get(index).result() ? inForce : missing).add(asked.get(index));
			}
			return new InForce(revision, inForce, missing);
		});
	}

	private Future<Boolean> query(HostName host, long revision) {
		return this.network
			.call(host, PeerMessage.newBuilder().setRevisionQuery(RevisionQuery.getDefaultInstance()), TIMEOUT_MILLIS)
			.map((reply) -> reply instanceof PeerReply.Answered answered && answered.message().hasRevisionReply()
					&& answered.message().getRevisionReply().getAppliedRevision() >= revision);
	}

}
