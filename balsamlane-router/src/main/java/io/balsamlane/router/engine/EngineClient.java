package io.balsamlane.router.engine;

import java.util.List;
import java.util.Optional;
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
	 * @param listener receives exactly one result
	 * @return closes the call from this side; no result follows, and an order that was
	 * not sent yet is not sent
	 */
	Runnable prefill(Endpoint engine, PrefillCall call, Consumer<PrefillResult> listener);

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
	 * @return what the engine confirmed
	 */
	Future<CancelResult> cancel(Endpoint engine, String attempt);

	/**
	 * Reads the attempts that an engine runs.
	 * @param engine the engine
	 * @return the attempts, empty if the engine did not answer
	 */
	Future<Optional<List<String>>> running(Endpoint engine);

	/**
	 * Finds out over a new connection whether an engine lives.
	 * @param engine the engine
	 * @return the outcome
	 */
	Future<ProbeResult> probe(Endpoint engine);

	/**
	 * Stops using the open connections of an engine; later calls open new ones.
	 * @param engine the engine
	 */
	void dropConnections(Endpoint engine);

	/**
	 * What a cancel achieved.
	 */
	enum CancelResult {

		/** The engine freed memory. */
		RELEASED,

		/** The engine answered that it held nothing for the attempt. */
		NOTHING_HELD,

		/** No answer came. */
		UNCONFIRMED

	}

	/**
	 * What a probe found.
	 */
	enum ProbeResult {

		/** The engine answered. */
		ALIVE,

		/** The connection was refused: no process listens. */
		REFUSED,

		/** Neither an answer nor a refusal came in time. */
		SILENT

	}

}
