package io.balsamlane.standin.proxy;

/**
 * Second response of a server to a request that it has already answered.
 *
 * @param content what it carries
 * @param timing when it is sent
 * @param pieces how it is divided
 * @param times number of requests that are answered twice
 */
public record SecondResponse(Content content, Timing timing, Pieces pieces, int times) {

	/**
	 * Content of a second response.
	 */
	public enum Content {

		/** The first response, with its id. */
		COPY,

		/** The first response without its id. */
		COPY_WITHOUT_ID,

		/** Status 500 without an id. */
		FAILURE,

		/** Status 503 with {@code X-Leaving}, without an id. */
		REFUSAL

	}

	/**
	 * Time at which a second response is sent.
	 */
	public enum Timing {

		/** In the same write as the first response. */
		SAME_WRITE,

		/** Shortly after the first response, while the connection is idle. */
		IDLE,

		/** After the next request has arrived on the connection. */
		NEXT_REQUEST

	}

	/**
	 * Division of a second response.
	 */
	public enum Pieces {

		/** One write. */
		WHOLE,

		/** Half of the head, and the rest after the next request has arrived. */
		SPLIT_HEAD

	}

}
