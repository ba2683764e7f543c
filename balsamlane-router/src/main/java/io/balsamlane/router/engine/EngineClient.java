package io.balsamlane.router.engine;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.balsamlane.core.model.Endpoint;
import io.vertx.core.Future;

/**
 * Client for the API of model engines. The returned futures never fail; errors are part
 * of their results.
 */
public interface EngineClient {

	/**
	 * Prefill a prompt.
	 * @param engine the prefill engine
	 * @param call the request
	 * @param listener receives exactly one result
	 * @return closes the call on the client side; no result follows, and a request that
	 * has not been sent is dropped
	 */
	Runnable prefill(Endpoint engine, PrefillCall call, Consumer<PrefillResult> listener);

	/**
	 * Start a decode stream.
	 * @param engine the decode engine
	 * @param call the request
	 * @param listener receives the tokens in order and then exactly one other event
	 * @return closes the stream on the client side; no event follows
	 */
	Runnable decode(Endpoint engine, DecodeCall call, Consumer<DecodeEvent> listener);

	/**
	 * Cancel an attempt on an engine and free its memory. This has no effect if the
	 * engine does not know the attempt.
	 * @param engine the engine
	 * @param attempt request id and attempt number
	 * @return the result that the engine confirmed
	 */
	Future<CancelResult> cancel(Endpoint engine, String attempt);

	/**
	 * Read the attempts that are running on an engine.
	 * @param engine the engine
	 * @return the attempts, or empty if the engine did not answer
	 */
	Future<Optional<List<String>>> runningAttempts(Endpoint engine);

	/**
	 * Probe an engine over a new connection.
	 * @param engine the engine
	 * @return the result of the probe
	 */
	Future<ProbeResult> probe(Endpoint engine);

	/**
	 * Stop using the open connections of an engine. Later calls open new ones.
	 * @param engine the engine
	 */
	void dropConnections(Endpoint engine);

	/**
	 * Result of a cancellation.
	 */
	enum CancelResult {

		/** The engine freed memory. */
		RELEASED,

		/** The engine answered that it held nothing for the attempt. */
		NOTHING_HELD,

		/** The engine did not confirm the cancellation. */
		UNCONFIRMED

	}

	/**
	 * Result of a probe.
	 */
	enum ProbeResult {

		/** The engine answered. */
		ALIVE,

		/** The connection was refused, so no process is listening. */
		REFUSED,

		/** Neither an answer nor a refusal arrived within the timeout. */
		SILENT

	}

}
