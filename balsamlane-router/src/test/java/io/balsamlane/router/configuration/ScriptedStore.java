package io.balsamlane.router.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.balsamlane.router.store.PlatformStore;
import io.balsamlane.router.store.StoreRead;
import io.balsamlane.router.store.StoreWrite;
import io.vertx.core.Future;

/**
 * Store with a single key that injects a scripted sequence of faults and then works
 * normally.
 */
final class ScriptedStore implements PlatformStore {

	private final Deque<Fault> script = new ArrayDeque<>();

	private final byte[] competingValue;

	private byte[] value = new byte[0];

	private long version;

	private Runnable delayedWrite = () -> {
	};

	ScriptedStore(List<Fault> script, byte[] initial, byte[] competingValue) {
		this.script.addAll(script);
		this.competingValue = competingValue;
		set(initial);
	}

	byte[] value() {
		return this.value;
	}

	private void set(byte[] next) {
		this.value = next;
		this.version++;
	}

	@Override
	public Future<StoreRead> get(String key) {
		Fault fault = (this.script.peek() == Fault.READ_FAILS) ? this.script.poll() : Fault.NONE;
		StoreRead read = (fault == Fault.READ_FAILS) ? new StoreRead.Unavailable("down")
				: new StoreRead.Found(this.value, this.version);
		this.delayedWrite.run();
		return Future.succeededFuture(read);
	}

	@Override
	public Future<StoreWrite> compareAndSet(String key, byte[] next, long expectedVersion) {
		Fault fault = this.script.isEmpty() ? Fault.NONE : this.script.poll();
		Runnable write = () -> {
			if (this.version == expectedVersion) {
				set(next);
			}
		};
		switch (fault) {
			case ANSWER_LOST -> write.run();
			case TAKES_EFFECT_AFTER_NEXT_READ -> {
				this.delayedWrite = write;
			}
			case OTHER_CHANGE_FIRST -> set(this.competingValue);
			default -> {
			}
		}
		if (fault == Fault.REJECTED) {
			return Future.succeededFuture(new StoreWrite.Rejected("status 413"));
		}
		if (fault != Fault.NONE && fault != Fault.OTHER_CHANGE_FIRST) {
			return Future.succeededFuture(new StoreWrite.Undecided("timeout"));
		}
		if (this.version != expectedVersion) {
			return Future.succeededFuture(new StoreWrite.Mismatch(this.version));
		}
		write.run();
		return Future.succeededFuture(new StoreWrite.Written(this.version));
	}

	@Override
	public Future<StoreWrite> delete(String key) {
		throw new UnsupportedOperationException("The configuration is never deleted");
	}

	@Override
	public Future<StoreRead> watch(String key, long afterVersion) {
		return get(key);
	}

	enum Fault {

		NONE, READ_FAILS, ANSWER_LOST, REQUEST_LOST, TAKES_EFFECT_AFTER_NEXT_READ, OTHER_CHANGE_FIRST, REJECTED

	}

}
