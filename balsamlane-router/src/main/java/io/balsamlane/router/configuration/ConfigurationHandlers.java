package io.balsamlane.router.configuration;

import java.util.function.Function;

import io.balsamlane.core.configuration.ConfigurationDelta;
import io.balsamlane.core.configuration.PullResult;
import io.balsamlane.core.configuration.TrackerAction;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.configuration.ConfigurationManager.AppliedConfiguration;
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
 * Register handlers for configuration messages between routers and send such messages.
 */
final class ConfigurationHandlers {

	private ConfigurationHandlers() {
	}

	static void register(PeerNetwork network, ConfigurationManager manager) {
		network.register(BodyCase.CONFIGURATION_PULL, (from, message) -> {
			AppliedConfiguration applied = manager.appliedConfiguration();
			ConfigurationUpdate.Builder update = ConfigurationDelta.since(applied.configuration(), applied.digest(),
					message.getConfigurationPull().getKnownRevision());
			return Future.succeededFuture(PeerMessage.newBuilder()
				.setConfigurationUpdate(update.setStoreAgeMillis(manager.storeAgeMillis())));
		});
		network.register(BodyCase.REVISION_QUERY, (from, message) -> Future.succeededFuture(reply(manager)));
		network.register(BodyCase.REVISION_NOTICE, (from, message) -> {
			RevisionNotice notice = message.getRevisionNotice();
			manager.recordPeerRevision(HostName.of(from.getHost()), notice.getRevision(),
					Integer.toUnsignedLong(notice.getStoreAgeMillis()));
			return Future.succeededFuture(reply(manager));
		});
	}

	private static PeerMessage.Builder reply(ConfigurationManager manager) {
		return PeerMessage.newBuilder()
			.setRevisionReply(RevisionReply.newBuilder()
				.setAppliedRevision(manager.appliedRevision())
				.setStoreAgeMillis(manager.storeAgeMillis()));
	}

	/**
	 * Pull the configuration from a peer.
	 * @param network the peer network
	 * @param manager the configuration manager of this node
	 * @param pull the peer to pull from and the revision known on this node
	 * @param timeoutMillis the call timeout in milliseconds
	 * @return a function that computes the result from the configuration of this node; it
	 * is expensive for a large document
	 */
	static Future<Function<Configuration, PullResult>> pull(PeerNetwork network, ConfigurationManager manager,
			TrackerAction.Pull pull, long timeoutMillis) {
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setConfigurationPull(ConfigurationPull.newBuilder().setKnownRevision(pull.knownRevision()));
		return network.call(pull.peer(), message, timeoutMillis).map((reply) -> {
			if (reply instanceof PeerReply.Answered answered && answered.message().hasConfigurationUpdate()) {
				ConfigurationUpdate update = answered.message().getConfigurationUpdate();
				manager.recordPeerRevision(pull.peer(), update.getRevision(),
						Integer.toUnsignedLong(update.getStoreAgeMillis()));
				return (base) -> ConfigurationDelta.apply(base, update);
			}
			return (base) -> new PullResult.Failed(reply.toString());
		});
	}

	/**
	 * Notify a peer of a revision. If the notice is lost, the peer learns of the revision
	 * from probes.
	 * @param network the peer network
	 * @param manager the configuration manager of this node
	 * @param peer the peer to notify
	 * @param revision the revision
	 * @param timeoutMillis the call timeout in milliseconds
	 */
	static void notify(PeerNetwork network, ConfigurationManager manager, HostName peer, long revision,
			long timeoutMillis) {
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setRevisionNotice(
					RevisionNotice.newBuilder().setRevision(revision).setStoreAgeMillis(manager.storeAgeMillis()));
		network.call(peer, message, timeoutMillis).onSuccess((reply) -> {
			if (reply instanceof PeerReply.Answered answered && answered.message().hasRevisionReply()) {
				RevisionReply revisionReply = answered.message().getRevisionReply();
				manager.recordPeerRevision(peer, revisionReply.getAppliedRevision(),
						Integer.toUnsignedLong(revisionReply.getStoreAgeMillis()));
			}
		});
	}

}
