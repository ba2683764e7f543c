package io.balsamlane.router.edge;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantUpdate;

/**
 * One numbered attempt of a model request: its grant, its engines and its times.
 */
final class Attempt {

	private final int number;

	private final String id;

	private final GrantReply grant;

	private final Endpoint prefill;

	private final Endpoint decode;

	private final long startedNanos = System.nanoTime();

	private long phaseStartedNanos = this.startedNanos;

	private long firstTokenNanos;

	private long lastTokenNanos;

	private int tokens;

	private Runnable close = () -> {
	};

	private boolean prefillSent;

	private boolean decodeSent;

	Attempt(String requestId, GrantReply grant, Endpoint prefill, Endpoint decode) {
		this.number = grant.getAttempt();
		this.id = requestId + "." + grant.getAttempt();
		this.grant = grant;
		this.prefill = prefill;
		this.decode = decode;
	}

	int number() {
		return this.number;
	}

	String id() {
		return this.id;
	}

	String prefillServer() {
		return this.grant.getPrefillServer();
	}

	String decodeServer() {
		return this.grant.getDecodeServer();
	}

	/**
	 * Returns the engine that works at present.
	 * @return name of the prefill engine until the decode order is sent
	 */
	String activeServer() {
		return this.decodeSent ? decodeServer() : prefillServer();
	}

	Endpoint prefill() {
		return this.prefill;
	}

	Endpoint decode() {
		return this.decode;
	}

	boolean prefillSent() {
		return this.prefillSent;
	}

	boolean decodeSent() {
		return this.decodeSent;
	}

	int tokens() {
		return this.tokens;
	}

	void sendingPrefill(Runnable closer) {
		this.prefillSent = true;
		this.phaseStartedNanos = System.nanoTime();
		this.close = closer;
	}

	void sendingDecode() {
		this.decodeSent = true;
		this.phaseStartedNanos = System.nanoTime();
	}

	void setClose(Runnable closer) {
		this.close = closer;
	}

	void close() {
		this.close.run();
	}

	/**
	 * Counts a token.
	 * @return true for the first token of this attempt
	 */
	boolean token() {
		this.lastTokenNanos = System.nanoTime();
		if (this.tokens++ == 0) {
			this.firstTokenNanos = this.lastTokenNanos;
			return true;
		}
		return false;
	}

	/**
	 * Describes a step of the attempt to the scheduler.
	 * @param kind the step; for {@code PREFILL_DONE} and {@code FIRST_TOKEN} the elapsed
	 * time is that of the phase that ended, for the others that of the whole attempt
	 * @param server the engine that the step is about
	 * @param model name of the model
	 * @param place place of the scheduling domain
	 * @return the update
	 */
	GrantUpdate update(GrantUpdate.Kind kind, String server, String model, String place) {
		boolean phase = kind == GrantUpdate.Kind.PREFILL_DONE || kind == GrantUpdate.Kind.FIRST_TOKEN;
		long fromNanos = phase ? this.phaseStartedNanos : this.startedNanos;
		long betweenMicros = (this.tokens > 1) ? (this.lastTokenNanos - this.firstTokenNanos) / 1000 / (this.tokens - 1)
				: 0;
		return GrantUpdate.newBuilder()
			.setRequestId(this.grant.getRequestId())
			.setAttempt(this.number)
			.setModel(model)
			.setPlace(place)
			.setKind(kind)
			.setServer(server)
			.setElapsedMillis((int) ((System.nanoTime() - fromNanos) / 1_000_000))
			.setGeneratedTokens(this.tokens)
			.setBetweenTokensMicros((int) betweenMicros)
			.build();
	}

}
