package io.balsamlane.core.scheduling;

/**
 * Limits and time constants of a scheduler.
 *
 * @param pieceTokens number of tokens in one piece of engine memory
 * @param blockTokens number of tokens in one block of the prefix cache
 * @param maxQueued maximum number of queued requests
 * @param maxGrants maximum number of live grants
 * @param maxCallers maximum number of callers with recorded state
 * @param prefixSlots maximum number of prompt blocks in the prefix table, a power of two
 * @param firstTokenMillis time-to-first-token target of a request that specifies none
 * @param betweenTokensMillis target for the time between tokens of a request that
 * specifies none
 * @param grantTimeoutMillis time after which a grant expires unless it is renewed
 * @param pollTimeoutMillis time after which a queued request is dropped unless it is
 * repeated
 * @param maxPrefillWaitMillis maximum expected wait on a prefill engine at the time of a
 * grant; decode memory stays reserved during this wait, so requests remain queued instead
 * @param reserveEstimatedLength whether decode memory is reserved for the estimated
 * response length; false reserves the maximum length, for engines that allocate all
 * memory at the start
 * @param defaultEngineLoad load assumed for an engine before its first load report
 */
public record SchedulerParameters(int pieceTokens, int blockTokens, int maxQueued, int maxGrants, int maxCallers,
		int prefixSlots, int firstTokenMillis, int betweenTokensMillis, int grantTimeoutMillis, int pollTimeoutMillis,
		int maxPrefillWaitMillis, boolean reserveEstimatedLength, EngineLoad defaultEngineLoad) {

	public SchedulerParameters {
		if (pieceTokens < 1 || blockTokens < 1 || maxGrants < 1 || maxCallers < 1
				|| Integer.bitCount(prefixSlots) != 1) {
			throw new IllegalArgumentException(
					"Invalid scheduler parameters: sizes must be positive and prefixSlots a " + "power of two");
		}
	}

	/**
	 * Return the parameters for the default settings.
	 * @return the parameters
	 */
	public static SchedulerParameters ofDefaults() {
		return of(2048, 256, 1100, 35, 3000);
	}

	/**
	 * Return parameters based on the given settings.
	 * @param pieceTokens number of tokens in one piece of engine memory
	 * @param maxQueued maximum number of queued requests
	 * @param firstTokenMillis time-to-first-token target of a request that specifies none
	 * @param betweenTokensMillis target for the time between tokens of a request that
	 * specifies none
	 * @param grantTimeoutMillis time after which a grant expires unless it is renewed
	 * @return the parameters
	 */
	public static SchedulerParameters of(int pieceTokens, int maxQueued, int firstTokenMillis, int betweenTokensMillis,
			int grantTimeoutMillis) {
		return new SchedulerParameters(pieceTokens, 256, maxQueued, 32_768, 2048, 65_536, firstTokenMillis,
				betweenTokensMillis, grantTimeoutMillis, 400, 40, false,
				new EngineLoad("", 60, 0, 10_000, 160_000, 10_000_000_000L));
	}

}
