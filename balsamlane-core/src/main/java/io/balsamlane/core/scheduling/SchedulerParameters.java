package io.balsamlane.core.scheduling;

/**
 * Limits and time constants of a scheduler.
 *
 * @param pieceTokens tokens in one piece of engine memory
 * @param blockTokens tokens in one block of the prefix cache
 * @param maxQueued most requests that wait
 * @param maxGrants most live grants
 * @param maxCallers most callers that are remembered
 * @param prefixSlots most prompt blocks whose place is remembered, a power of two
 * @param firstTokenMillis first-token target where a request gives none
 * @param betweenTokensMillis target between tokens where a request gives none
 * @param grantMillis a grant that is not renewed for this time expires
 * @param askMillis a waiting request that is not asked for during this time is dropped
 * @param lookaheadMillis longest wait on a prefill engine that a grant may have; decode
 * memory stays reserved during it, so requests wait in the queue instead
 * @param reserveEstimate whether decode memory is reserved for the estimated length;
 * false reserves for the longest answer, as engines do that allocate it at the start
 * @param unknownEngine facts assumed for an engine before its first load report
 */
public record SchedulerParameters(int pieceTokens, int blockTokens, int maxQueued, int maxGrants, int maxCallers,
		int prefixSlots, int firstTokenMillis, int betweenTokensMillis, int grantMillis, int askMillis,
		int lookaheadMillis, boolean reserveEstimate, EngineLoad unknownEngine) {

	public SchedulerParameters {
		if (pieceTokens < 1 || blockTokens < 1 || maxGrants < 1 || maxCallers < 1
				|| Integer.bitCount(prefixSlots) != 1) {
			throw new IllegalArgumentException("Scheduler parameters are out of range: use positive sizes and a power "
					+ "of two for prefixSlots");
		}
	}

	/**
	 * Returns the parameters for the default settings.
	 * @return the parameters
	 */
	public static SchedulerParameters ofDefaults() {
		return of(2048, 256, 1100, 35, 3000);
	}

	/**
	 * Returns parameters that follow the settings.
	 * @param pieceTokens tokens in one piece of engine memory
	 * @param maxQueued most requests that wait
	 * @param firstTokenMillis first-token target where a request gives none
	 * @param betweenTokensMillis target between tokens where a request gives none
	 * @param grantMillis a grant that is not renewed for this time expires
	 * @return the parameters
	 */
	public static SchedulerParameters of(int pieceTokens, int maxQueued, int firstTokenMillis, int betweenTokensMillis,
			int grantMillis) {
		return new SchedulerParameters(pieceTokens, 256, maxQueued, 32_768, 2048, 65_536, firstTokenMillis,
				betweenTokensMillis, grantMillis, 400, 40, false,
				new EngineLoad("", 60, 0, 10_000, 160_000, 10_000_000_000L));
	}

}
