package io.balsamlane.core.forwarding;

/**
 * What placement assumes of engines and paths before it has observed them.
 *
 * @param prefillTokensPerMilli prompt tokens that a prefill engine reads in a millisecond
 * @param decodeSlowdown factor by which a decode engine reads prompts more slowly
 * @param setupMillis time from the arrival of a request until its prompt is read
 * @param placeRoundTripMillis round trip between places of one region
 * @param regionRoundTripMillis round trip between regions
 * @param transferPenaltyMillis delay that is worth avoiding one move of a KV cache within
 * a place; twice that between places, three times between regions
 * @param remotePenaltyMillis delay that is worth avoiding a request's paid bytes between
 * regions
 */
public record EngineRates(double prefillTokensPerMilli, double decodeSlowdown, double setupMillis,
		double placeRoundTripMillis, double regionRoundTripMillis, double transferPenaltyMillis,
		double remotePenaltyMillis) {
}
