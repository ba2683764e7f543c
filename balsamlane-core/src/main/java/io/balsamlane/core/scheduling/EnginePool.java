package io.balsamlane.core.scheduling;

/**
 * Engines of one pool, which are expected to be equally fast.
 */
final class EnginePool {

	/** Batch allowed to an engine of a pool that misses the target with any batch. */
	private static final int SMALLEST_BATCH = 4;

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
	 * Compares each engine with the median. The median's engine is never a straggler, so
	 * a pool always keeps an engine.
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
			engine.compareWith(median);
		}
	}

	int batchLimit(double targetMicros, double relativeFactor) {
		int limit = this.steps.batchLimit(targetMicros, relativeFactor);
		if (limit == 0 && this.steps.batchLimit(targetMicros, 1) == 0) {
			return (int) Math.max(1, SMALLEST_BATCH / relativeFactor);
		}
		return limit;
	}

}
