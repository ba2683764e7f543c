package io.balsamlane.router.configuration;

import java.util.function.Function;

import io.balsamlane.core.configuration.ConfigurationDelta;
import io.balsamlane.core.configuration.PullResult;
import io.balsamlane.core.configuration.TrackerAction;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.configuration.ConfigurationKeeper.AppliedConfiguration;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ConfigurationPull;
import io.balsamlane.schema.ConfigurationUpdate;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PeerMessage.BodyCase;
import io.balsamlane.schema.RevisionNotice;
import io.balsamlane.schema.RevisionReply;
import io.vertx.core.Future;

/**
 * Messages between routers about the configuration.
 */
final class ConfigurationHandlers {

	private ConfigurationHandlers() {
	}

	static void register(PeerNetwork network, ConfigurationKeeper keeper) {
		network.register(BodyCase.CONFIGURATION_PULL, (from, message) -> {
			AppliedConfiguration applied = keeper.appliedConfiguration();
			ConfigurationUpdate.Builder update = ConfigurationDelta.since(applied.configuration(), applied.digest(),
					message.getConfigurationPull().getKnownRevision());
			return Future.succeededFuture(
					PeerMessage.newBuilder().setConfigurationUpdate(update.setStoreAgeMillis(keeper.storeAgeMillis())));
		});
		network.register(BodyCase.REVISION_QUERY, (from, message) -> Future.succeededFuture(reply(keeper)));
		network.register(BodyCase.REVISION_NOTICE, (from, message) -> {
			RevisionNotice notice = message.getRevisionNotice();
			keeper.announced(HostName.of(from.getHost()), notice.getRevision(),
					Integer.toUnsignedLong(notice.getStoreAgeMillis()));
			return Future.succeededFuture(reply(keeper));
		});
	}

	private static PeerMessage.Builder reply(ConfigurationKeeper keeper) {
		return PeerMessage.newBuilder()
			.setRevisionReply(RevisionReply.newBuilder()
				.setAppliedRevision(keeper.appliedRevision())
				.setStoreAgeMillis(keeper.storeAgeMillis()));
	}

	/**
	 * Pulls the configuration from a peer.
	 * @param network the network
	 * @param keeper the keeper of this node
	 * @param pull peer and known revision
	 * @param timeoutMillis longest wait, in milliseconds
	 * @return computes the result from the configuration of this node; costly for a large
	 * document
	 */
	static Future<Function<Configuration, PullResult>> pull(PeerNetwork network, ConfigurationKeeper keeper,
			TrackerAction.Pull pull, long timeoutMillis) {
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setConfigurationPull(ConfigurationPull.newBuilder().setKnownRevision(pull.knownRevision()));
		return network.call(pull.peer(), message, timeoutMillis).map((reply) -> {
			if (reply instanceof PeerReply.Answered answered && answered.message().hasConfigurationUpdate()) {
				ConfigurationUpdate update = answered.message().getConfigurationUpdate();
				keeper.announced(pull.peer(), update.getRevision(), Integer.toUnsignedLong(update.getStoreAgeMillis()));
				return (base) -> ConfigurationDelta.apply(base, update);
			}
			return (base) -> new PullResult.Failed(reply.toString());
		});
	}

	/**
	 * Tells a peer of a revision. A lost notice is made good by probes.
	 * @param network the network
	 * @param keeper the keeper of this node
	 * @param peer the peer
	 * @param revision the revision
	 * @param timeoutMillis longest wait, in milliseconds
	 */
	static void notify(PeerNetwork network, ConfigurationKeeper keeper, HostName peer, long revision,
			long timeoutMillis) {
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setRevisionNotice(
					RevisionNotice.newBuilder().setRevision(revision).setStoreAgeMillis(keeper.storeAgeMillis()));
		network.call(peer, message, timeoutMillis).onSuccess((reply) -> {
			if (reply instanceof PeerReply.Answered answered && answered.message().hasRevisionReply()) {
				RevisionReply revisionReply = answered.message().getRevisionReply();
				keeper.announced(peer, revisionReply.getAppliedRevision(),
						Integer.toUnsignedLong(revisionReply.getStoreAgeMillis()));
			}
		});
	}

}
