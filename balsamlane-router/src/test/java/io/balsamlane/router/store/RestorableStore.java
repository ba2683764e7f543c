package io.balsamlane.router.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.balsamlane.core.model.HostName;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * In-memory store that can be restored from a copy, with clients that fail like those of
 * a real one: connections are reset, go silent or are cut off. Confined to one event
 * loop.
 */
final class RestorableStore {

	private static final long LATENCY_MILLIS = 5;

	private static final long TIMEOUT_MILLIS = 1000;

	private static final long OVERDUE_MILLIS = 300;

	private final Vertx vertx;

	private final Set<HostName> cutOff = new HashSet<>();

	private final List<Call> calls = new ArrayList<>();

	private State state = new State(new TreeMap<>(), new ArrayList<>(), 10);

	private long era = 1;

	RestorableStore(Vertx vertx) {
		this.vertx = vertx;
	}

	Map<String, String> items() {
		return Map.copyOf(this.state.items);
	}

	void put(String key, String value) {
		long revision = this.state.revision + 1;
		if (value != null) {
			this.state.items.put(key, value);
		}
		else if (this.state.items.remove(key) == null) {
			return;
		}
		this.state.history.add(new Change(revision, key, value));
		this.state = new State(this.state.items, this.state.history, revision);
		List.copyOf(this.calls).forEach(Call::answerIfChanged);
	}

	State copy() {
		return this.state.copy();
	}

	void restore(State copy, Connections connections) {
		this.state = copy.copy();
		this.era++;
		List.copyOf(this.calls).forEach((call) -> {
			switch (connections) {
				case KEPT -> call.answerIfChanged();
				case RESET -> call.end(new PrefixRead.Unavailable("reset"));
				case SILENT -> call.silence();
			}
		});
	}

	void cutOff(HostName host) {
		this.cutOff.add(host);
	}

	void reconnect(HostName host) {
		this.cutOff.remove(host);
	}

	/** Return a client that records the era before it uses an answer. */
	PrefixStore client(HostName host, StoreEras eras) {
		return new PrefixStore() {

			@Override
			public Future<PrefixRead> list(String prefix) {
				Optional<StoreEra> known = eras.current();
				return new Call(host, -1, 0).start().map((answer) -> checked(answer, known));
			}

			@Override
			public Future<PrefixRead> watch(String prefix, long afterRevision, long waitMillis) {
				Optional<StoreEra> known = eras.current();
				Call call = new Call(host, afterRevision, waitMillis);
				RestorableStore.this.vertx.setTimer(waitMillis + OVERDUE_MILLIS, (id) -> {
					if (!call.answer.future().isComplete()) {
						new Call(host, afterRevision, 1).start().onSuccess((answer) -> call.answer.tryComplete(answer));
					}
				});
				return call.start()
					.map((answer) -> checked(answer, known))
					.map((read) -> eras.restoredSince(known) ? new PrefixRead.HistoryLost() : read);
			}

			private PrefixRead checked(Answer answer, Optional<StoreEra> known) {
				boolean usable = answer.era() == 0 || eras.observe(new StoreEra(answer.era()), known);
				return usable ? answer.read() : new PrefixRead.Unavailable("outdated");
			}

		};
	}

	/** Contents of the store at one moment. */
	record State(Map<String, String> items, List<Change> history, long revision) {

		State copy() {
			return new State(new TreeMap<>(this.items), new ArrayList<>(this.history), this.revision);
		}

	}

	/** A change; the value is null if the key was removed. */
	record Change(long revision, String key, String value) {

		PrefixRead.Item item() {
			return new PrefixRead.Item(this.key,
					(this.value != null) ? this.value.getBytes(StandardCharsets.UTF_8) : null);
		}

	}

	/** What happens to the connections that are open when the store is restored. */
	enum Connections {

		KEPT, RESET, SILENT

	}

	/** An answer and the era that it names, 0 if the store did not answer. */
	private record Answer(PrefixRead read, long era) {
	}

	private final class Call {

		private final HostName host;

		private final long afterRevision;

		private final long waitMillis;

		private final Promise<Answer> answer = Promise.promise();

		private boolean silent;

		private boolean arrived;

		Call(HostName host, long afterRevision, long waitMillis) {
			this.host = host;
			this.afterRevision = afterRevision;
			this.waitMillis = waitMillis;
		}

		Future<Answer> start() {
			RestorableStore store = RestorableStore.this;
			store.calls.add(this);
			this.answer.future().onComplete((done) -> store.calls.remove(this));
			store.vertx.setTimer(LATENCY_MILLIS, (id) -> {
				this.arrived = true;
				answerIfChanged();
			});
			if (this.waitMillis > 0) {
				store.vertx.setTimer(LATENCY_MILLIS + this.waitMillis, (id) -> end(changes()));
			}
			store.vertx.setTimer(this.waitMillis + TIMEOUT_MILLIS,
					(id) -> this.answer.tryComplete(new Answer(new PrefixRead.Unavailable("timeout"), 0)));
			return this.answer.future();
		}

		void silence() {
			this.silent = true;
		}

		void answerIfChanged() {
			PrefixRead read = changes();
			if (this.arrived && !(read instanceof PrefixRead.Changed changed && changed.changes().isEmpty())) {
				end(read);
			}
		}

		private PrefixRead changes() {
			State current = RestorableStore.this.state;
			if (this.afterRevision < 0) {
				return new PrefixRead.Listed(current.items.entrySet()
					.stream()
					.map((entry) -> new Change(0, entry.getKey(), entry.getValue()).item())
					.toList(), current.revision);
			}
			if (this.afterRevision > current.revision) {
				return new PrefixRead.HistoryLost();
			}
			return new PrefixRead.Changed(current.history.stream()
				.filter((change) -> change.revision > this.afterRevision)
				.map(Change::item)
				.toList(), current.revision);
		}

		// The answer of one era may arrive after that of a later one.
		void end(PrefixRead read) {
			RestorableStore store = RestorableStore.this;
			if (this.silent || store.cutOff.contains(this.host)) {
				return;
			}
			Answer sent = new Answer(read, (read instanceof PrefixRead.Unavailable) ? 0 : store.era);
			store.calls.remove(this);
			store.vertx.setTimer(LATENCY_MILLIS, (id) -> this.answer.tryComplete(sent));
		}

	}

}
