package io.balsamlane.core.forwarding;

/**
 * Performance estimates for engines and network paths that placement uses before it has
 * observations.
 *
 * @param prefillTokensPerMilli prompt tokens that a prefill engine processes per
 * millisecond
 * @param decodeSlowdown factor by which prefill is slower on a decode engine
 * @param setupMillis time from the arrival of a request until its prefill starts
 * @param placeRoundTripMillis round-trip time between places of one region, in
 * milliseconds
 * @param regionRoundTripMillis round-trip time between regions, in milliseconds
 * @param transferPenaltyMillis delay accepted to avoid one KV cache transfer within a
 * place, in milliseconds; twice that between places, three times that between regions
 * @param remotePenaltyMillis delay accepted to avoid the billed traffic of a request
 * between regions, in milliseconds
 */
public record EngineRates(double prefillTokensPerMilli, double decodeSlowdown, double setupMillis,
		double placeRoundTripMillis, double regionRoundTripMillis, double transferPenaltyMillis,
		double remotePenaltyMillis) {
}
