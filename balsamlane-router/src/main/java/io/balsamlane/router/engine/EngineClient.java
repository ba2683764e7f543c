package io.balsamlane.router.engine;

import java.util.function.Consumer;

import io.balsamlane.core.model.Endpoint;
import io.vertx.core.Future;

/**
 * Access to one dialect of model engines. Futures never fail; their results tell what
 * happened.
 */
public interface EngineClient {

	/**
	 * Prefills a prompt.
	 * @param engine the prefill engine
	 * @param call the order
	 * @return the outcome
	 */
	Future<PrefillResult> prefill(Endpoint engine, PrefillCall call);

	/**
	 * Starts a decode stream.
	 * @param engine the decode engine
	 * @param call the order
	 * @param listener receives tokens in order and then exactly one other event
	 * @return closes the stream from this side; no event follows
	 */
	Runnable decode(Endpoint engine, DecodeCall call, Consumer<DecodeEvent> listener);

	/**
	 * Ends an attempt on an engine and frees its memory. Harmless if the engine does not
	 * know the attempt.
	 * @param engine the engine
	 * @param attempt request id and attempt number
	 * @return true if the engine confirmed
	 */
	Future<Boolean> cancel(Endpoint engine, String attempt);

}
