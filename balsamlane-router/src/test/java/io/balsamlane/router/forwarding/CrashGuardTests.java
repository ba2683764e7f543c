package io.balsamlane.router.forwarding;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.ServerDeath;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CrashGuard}: a request that crashes servers must not be sent to
 * further ones, and a request whose servers merely lose a response must not be
 * quarantined.
 */
class CrashGuardTests {

	private static final long CULPRIT = 7;

	private static final long BYSTANDER = 8;

	private final Vertx vertx = Vertx.vertx();

	private final SinglePeerNetwork peer = new SinglePeerNetwork();

	private final CrashGuard guard = CrashGuard.create(this.vertx, this.peer,
			DecisionLog.create("self", new PrintStream(new ByteArrayOutputStream())));

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private static ListedServer server(String name) {
		return new ListedServer(new BackendServer(ServerName.of(name), BackendServer.Kind.ENGINE, "notes",
				Place.of("here"), "here", Endpoint.of("127.0.0.1", 8080), false), EngineStage.DECODE, 64, 1);
	}

	private void onLoop(Runnable action) throws Exception {
		Promise<Void> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			action.run();
			done.complete();
		});
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private boolean quarantinedWithin(long millis) throws Exception {
		long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < limit) {
			boolean[] quarantined = new boolean[1];
			onLoop(() -> quarantined[0] = this.guard.isQuarantined(CULPRIT));
			if (quarantined[0]) {
				return true;
			}
			Thread.sleep(20);
		}
		return false;
	}

	@Test
	void quarantinesRequestThatRanOnTwoTerminatedServersAndNotifiesPeers() throws Exception {
		onLoop(() -> {
			this.guard.recordLostConnection(server("a"), CULPRIT, 0);
			this.guard.recordLostConnection(server("a"), BYSTANDER, 0);
			this.guard.serverTerminated(ServerName.of("a"));
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(quarantinedWithin(5000)).isTrue();
		onLoop(() -> assertThat(this.guard.isQuarantined(BYSTANDER)).isFalse());
		assertThat(this.peer.sent).contains(PeerMessage.BodyCase.SERVER_DEATH, PeerMessage.BodyCase.QUARANTINE_NOTICE);
	}

	@Test
	void countsCrashReportedByAnotherRouter() throws Exception {
		onLoop(() -> {
			this.peer.handlers.get(PeerMessage.BodyCase.SERVER_DEATH)
				.handle(NodeId.getDefaultInstance(),
						PeerMessage.newBuilder()
							.setServerDeath(ServerDeath.newBuilder().setServer("a/1").addFingerprints(CULPRIT))
							.build());
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(quarantinedWithin(5000)).isTrue();
	}

	@Test
	void doesNotQuarantineRequestOfServersThatKeepRunning() throws Exception {
		onLoop(() -> {
			this.guard.recordLostConnection(server("a"), CULPRIT, 0);
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.recordLostConnection(server("c"), CULPRIT, 0);
		});
		assertThat(quarantinedWithin(800)).isFalse();
	}

	@Test
	void clearsSuspectThatCompletesLater() throws Exception {
		onLoop(() -> {
			this.guard.recordLostConnection(server("a"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("a"));
			this.guard.recordCompletion(CULPRIT);
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(quarantinedWithin(800)).isFalse();
	}

	/** Network with one other router, which replies to no call. */
	private static final class SinglePeerNetwork implements PeerNetwork {

		private final Member self = new Member(HostName.of("self"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 1));

		private final Member other = new Member(HostName.of("other"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 2));

		private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new EnumMap<>(PeerMessage.BodyCase.class);

		private final List<PeerMessage.BodyCase> sent = new CopyOnWriteArrayList<>();

		@Override
		public MemberView members() {
			return new MemberView(this.self, List.of(this.self, this.other));
		}

		@Override
		public void addMemberListener(Consumer<MemberView> listener) {
		}

		@Override
		public Future<PeerReply> call(HostName to, PeerMessage.Builder message, long timeoutMillis) {
			this.sent.add(message.getBodyCase());
			return Future.succeededFuture(new PeerReply.Lost("test"));
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
			this.handlers.put(body, handler);
		}

	}

}
