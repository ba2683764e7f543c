package io.balsamlane.router.edge;

import io.balsamlane.core.model.Endpoint;
import io.balsamlane.schema.GrantReply;
import io.balsamlane.schema.GrantUpdate;

/**
 * Single numbered attempt to run a model request, with its grant, its engines and its
 * timing.
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

	private Runnable closeAction = () -> {
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
	 * Return the engine that is currently working on this attempt.
	 * @return name of the prefill engine until the decode call is sent, then name of the
	 * decode engine
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

	void markPrefillSent(Runnable closeAction) {
		this.prefillSent = true;
		this.phaseStartedNanos = System.nanoTime();
		this.closeAction = closeAction;
	}

	void markDecodeSent() {
		this.decodeSent = true;
		this.phaseStartedNanos = System.nanoTime();
	}

	void setCloseAction(Runnable closeAction) {
		this.closeAction = closeAction;
	}

	void close() {
		this.closeAction.run();
	}

	/**
	 * Count a token and record its time of arrival.
	 * @return {@code true} for the first token of this attempt
	 */
	boolean recordToken() {
		this.lastTokenNanos = System.nanoTime();
		if (this.tokens++ == 0) {
			this.firstTokenNanos = this.lastTokenNanos;
			return true;
		}
		return false;
	}

	/**
	 * Create an update that reports a step of this attempt to the scheduler.
	 * @param kind the step; the elapsed time of {@code PREFILL_DONE} and
	 * {@code FIRST_TOKEN} covers the phase that ended, that of the others the whole
	 * attempt
	 * @param server name of the engine that the update concerns
	 * @param model name of the model
	 * @param place data centre of the scheduling domain
	 * @return the update
	 */
	GrantUpdate createUpdate(GrantUpdate.Kind kind, String server, String model, String place) {
		boolean endsPhase = kind == GrantUpdate.Kind.PREFILL_DONE || kind == GrantUpdate.Kind.FIRST_TOKEN;
		long fromNanos = endsPhase ? this.phaseStartedNanos : this.startedNanos;
		long betweenTokensMicros = (this.tokens > 1)
				? (this.lastTokenNanos - this.firstTokenNanos) / 1000 / (this.tokens - 1) : 0;
		return GrantUpdate.newBuilder()
			.setRequestId(this.grant.getRequestId())
			.setAttempt(this.number)
			.setModel(model)
			.setPlace(place)
			.setKind(kind)
			.setServer(server)
			.setElapsedMillis((int) ((System.nanoTime() - fromNanos) / 1_000_000))
			.setGeneratedTokens(this.tokens)
			.setBetweenTokensMicros((int) betweenTokensMicros)
			.build();
	}

}
