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
 * Guards against a request that crashes one server after the other, and against refusing
 * requests whose servers only lost an answer.
 */
class CrashGuardTests {

	private static final long CULPRIT = 7;

	private static final long BYSTANDER = 8;

	private final Vertx vertx = Vertx.vertx();

	private final OnePeer peer = new OnePeer();

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

	private void on(Runnable action) throws Exception {
		Promise<Void> done = Promise.promise();
		this.vertx.runOnContext((ignored) -> {
			action.run();
			done.complete();
		});
		done.future().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private boolean refusesWithin(long millis) throws Exception {
		long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < limit) {
			boolean[] refused = new boolean[1];
			on(() -> refused[0] = this.guard.isQuarantined(CULPRIT));
			if (refused[0]) {
				return true;
			}
			Thread.sleep(20);
		}
		return false;
	}

	@Test
	void requestOnTwoServersThatEndedIsRefusedAndTold() throws Exception {
		on(() -> {
			this.guard.recordLostConnection(server("a"), CULPRIT, 0);
			this.guard.recordLostConnection(server("a"), BYSTANDER, 0);
			this.guard.serverTerminated(ServerName.of("a"));
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(refusesWithin(5000)).isTrue();
		on(() -> assertThat(this.guard.isQuarantined(BYSTANDER)).isFalse());
		assertThat(this.peer.sent).contains(PeerMessage.BodyCase.SERVER_DEATH, PeerMessage.BodyCase.QUARANTINE_NOTICE);
	}

	@Test
	void deathSeenByAnotherRouterCounts() throws Exception {
		on(() -> {
			this.peer.handlers.get(PeerMessage.BodyCase.SERVER_DEATH)
				.handle(NodeId.getDefaultInstance(),
						PeerMessage.newBuilder()
							.setServerDeath(ServerDeath.newBuilder().setServer("a/1").addFingerprints(CULPRIT))
							.build());
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(refusesWithin(5000)).isTrue();
	}

	@Test
	void lostAnswersOfLivingServersRefuseNothing() throws Exception {
		on(() -> {
			this.guard.recordLostConnection(server("a"), CULPRIT, 0);
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.recordLostConnection(server("c"), CULPRIT, 0);
		});
		assertThat(refusesWithin(800)).isFalse();
	}

	@Test
	void requestThatIsAnsweredLaterIsCleared() throws Exception {
		on(() -> {
			this.guard.recordLostConnection(server("a"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("a"));
			this.guard.recordCompletion(CULPRIT);
			this.guard.recordLostConnection(server("b"), CULPRIT, 0);
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(refusesWithin(800)).isFalse();
	}

	/** A network with one other router. */
	private static final class OnePeer implements PeerNetwork {

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
