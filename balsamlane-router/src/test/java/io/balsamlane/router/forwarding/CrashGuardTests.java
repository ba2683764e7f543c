package io.balsamlane.router.forwarding;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.balsamlane.core.forwarding.EngineStage;
import io.balsamlane.core.forwarding.ListedServer;
import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.BackendServer;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.PromptPart;
import io.balsamlane.core.model.ServerName;
import io.balsamlane.router.peer.PeerHandler;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.CrashSuspect;
import io.balsamlane.schema.NodeId;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.PromptPartOutput;
import io.balsamlane.schema.PromptPartReply;
import io.balsamlane.schema.QuarantineEntry;
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

	private static final PromptPart SHARED = PromptPart.of(0xc0ffee);

	private static final PromptPart CRASHING = PromptPart.of(0xdead);

	private final Vertx vertx = Vertx.vertx();

	private boolean probedServersTerminated;

	private final SinglePeerNetwork peer = new SinglePeerNetwork();

	private final CrashGuard guard = CrashGuard.create(this.vertx, this.peer,
			(server) -> Future.succeededFuture(this.probedServersTerminated),
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

	private static RequestTraits traits(long fingerprint, PromptPart... parts) {
		return new RequestTraits(fingerprint, List.of(parts));
	}

	private void loseConnection(String server, RequestTraits traits) {
		long nowNanos = System.nanoTime();
		this.guard.recordLostConnection(
				new LostConnections.LostRequest(server(server), traits, 0, true, nowNanos - 1000, nowNanos));
	}

	private boolean quarantinedWithin(long millis) throws Exception {
		return quarantinedWithin(traits(CULPRIT), millis);
	}

	private boolean quarantinedWithin(RequestTraits traits, long millis) throws Exception {
		long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < limit) {
			boolean[] quarantined = new boolean[1];
			onLoop(() -> quarantined[0] = this.guard.isQuarantined(traits));
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
			loseConnection("a", traits(CULPRIT));
			loseConnection("a", traits(BYSTANDER));
			this.guard.serverTerminated(ServerName.of("a"));
			loseConnection("b", traits(CULPRIT));
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(quarantinedWithin(5000)).isTrue();
		onLoop(() -> assertThat(this.guard.isQuarantined(traits(BYSTANDER))).isFalse());
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
			loseConnection("b", traits(CULPRIT));
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(quarantinedWithin(5000)).isTrue();
	}

	@Test
	void doesNotQuarantineRequestOfServersThatKeepRunning() throws Exception {
		onLoop(() -> {
			loseConnection("a", traits(CULPRIT));
			loseConnection("b", traits(CULPRIT));
			loseConnection("c", traits(CULPRIT));
		});
		assertThat(quarantinedWithin(800)).isFalse();
	}

	@Test
	void clearsSuspectThatCompletesLater() throws Exception {
		onLoop(() -> {
			loseConnection("a", traits(CULPRIT));
			this.guard.serverTerminated(ServerName.of("a"));
			this.guard.recordCompletion(traits(CULPRIT));
			loseConnection("b", traits(CULPRIT));
			this.guard.serverTerminated(ServerName.of("b"));
		});
		assertThat(quarantinedWithin(800)).isFalse();
	}

	@Test
	void quarantinesPromptPartThatOtherwiseDifferentRequestsShareWhenServersRefuseConnections() throws Exception {
		this.probedServersTerminated = true;
		crashInSequence(SHARED, CRASHING);
		assertThat(quarantinedWithin(traits(99, CRASHING), 5000)).isTrue();
		onLoop(() -> assertThat(this.guard.isQuarantined(traits(100, SHARED))).isFalse());
		assertThat(this.peer.sent).contains(PeerMessage.BodyCase.PROMPT_PART_QUERY,
				PeerMessage.BodyCase.QUARANTINE_SYNC);
	}

	// Each request is sent after the previous crash.
	private void crashInSequence(PromptPart... parts) throws Exception {
		for (String server : List.of("a", "b", "c")) {
			onLoop(() -> loseConnection(server, traits(server.hashCode(), parts)));
			Thread.sleep(5);
		}
	}

	@Test
	void doesNotQuarantinePromptPartWhoseServersKeepRunning() throws Exception {
		crashInSequence(SHARED, CRASHING);
		assertThat(quarantinedWithin(traits(99, CRASHING), 1000)).isFalse();
	}

	@Test
	void doesNotQuarantinePromptPartOfWhichAnotherRouterForwardsOutput() throws Exception {
		this.probedServersTerminated = true;
		this.peer.reply = (message) -> new PeerReply.Answered(PeerMessage.newBuilder()
			.setPromptPartReply(PromptPartReply.newBuilder()
				.addOutputs(PromptPartOutput.newBuilder().setPart(CRASHING.value()).setAgeMillis(0)))
			.build());
		crashInSequence(CRASHING);
		assertThat(quarantinedWithin(traits(99, CRASHING), 1500)).isFalse();
	}

	@Test
	void countsCrashesUnderPromptPartReportedByAnotherRouter() throws Exception {
		this.probedServersTerminated = true;
		onLoop(() -> loseConnection("a", traits(1, CRASHING)));
		Thread.sleep(5);
		for (String server : List.of("b/1", "c/1")) {
			onLoop(() -> this.peer.handlers.get(PeerMessage.BodyCase.SERVER_DEATH)
				.handle(NodeId.getDefaultInstance(),
						PeerMessage.newBuilder()
							.setServerDeath(ServerDeath.newBuilder()
								.setServer(server)
								.addSuspects(CrashSuspect.newBuilder().addPromptParts(CRASHING.value())))
							.build()));
			Thread.sleep(5);
		}
		assertThat(quarantinedWithin(traits(99, CRASHING), 5000)).isTrue();
	}

	@Test
	void endsRequestInProgressWhosePromptPartIsQuarantined() throws Exception {
		boolean[] ended = new boolean[1];
		onLoop(() -> {
			this.guard.track(new TrackedRequest() {

				@Override
				public RequestTraits traits() {
					return CrashGuardTests.traits(1, CRASHING);
				}

				@Override
				public void quarantined() {
					ended[0] = true;
				}

			});
			this.guard.apply(List.of(QuarantineEntry.newBuilder()
				.setKind(QuarantineEntry.Kind.PROMPT_PART)
				.setValue(CRASHING.value())
				.setRemainingMillis(1000)
				.build()), "test");
		});
		assertThat(ended[0]).isTrue();
	}

	/** Network with one other router, which by default replies to no call. */
	private static final class SinglePeerNetwork implements PeerNetwork {

		private final Member self = new Member(HostName.of("self"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 1));

		private final Member other = new Member(HostName.of("other"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 2));

		private final Map<PeerMessage.BodyCase, PeerHandler> handlers = new EnumMap<>(PeerMessage.BodyCase.class);

		private final List<PeerMessage.BodyCase> sent = new CopyOnWriteArrayList<>();

		private Function<PeerMessage, PeerReply> reply = (message) -> new PeerReply.Lost("test");

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
			return Future.succeededFuture(this.reply.apply(message.build()));
		}

		@Override
		public void register(PeerMessage.BodyCase body, PeerHandler handler) {
			this.handlers.put(body, handler);
		}

	}

}
