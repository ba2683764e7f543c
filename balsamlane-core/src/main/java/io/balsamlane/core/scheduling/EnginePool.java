package io.balsamlane.core.scheduling;

/**
 * Engines of one pool, which are expected to run at the same speed.
 */
final class EnginePool {

	/**
	 * Batch size allowed for an engine of a pool that misses the target at any batch
	 * size.
	 */
	private static final int MIN_BATCH = 4;

	final String name;

	final int index;

	final StepModel steps = new StepModel();

	Engine[] engines = new Engine[0];

	private double[] sorted = new double[0];

	EnginePool(String name, int index) {
		this.name = name;
		this.index = index;
	}

	/**
	 * Compare each engine with the median. The engine at the median is never a straggler,
	 * so a pool always keeps a usable engine.
	 */
	void compareSpeeds() {
		int count = this.engines.length;
		if (this.sorted.length != count) {
			this.sorted = new double[count];
		}
		for (int i = 0; i < count; i++) {
			this.sorted[i] = this.engines[i].timeFactor;
		}
		java.util.Arrays.sort(this.sorted);
		double median = (count > 0) ? this.sorted[(count - 1) / 2] : 1;
		for (Engine engine : this.engines) {
			engine.updateRelativeFactor(median);
		}
	}

	int batchLimit(double targetMicros, double relativeFactor) {
		int limit = this.steps.batchLimit(targetMicros, relativeFactor);
		if (limit == 0 && this.steps.batchLimit(targetMicros, 1) == 0) {
			return (int) Math.max(1, MIN_BATCH / relativeFactor);
		}
		return limit;
	}

}
