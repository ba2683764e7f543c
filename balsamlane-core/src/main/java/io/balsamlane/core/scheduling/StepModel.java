package io.balsamlane.core.scheduling;

/**
 * Time of a decode step as a linear function of the batch size, fitted to reported times
 * by least squares with forgetting.
 */
final class StepModel {

	private static final double FORGETTING = 0.998;

	private static final double PRIOR_WEIGHT = 4;

	private static final double PRIOR_STEP_MICROS = 12_000;

	private static final double PRIOR_SEQUENCE_MICROS = 500;

	/** Batch sizes at which the prior holds, far enough apart to fix the slope. */
	private static final double[] PRIOR_BATCHES = { 1, 33 };

	/** Share of the target that a step may fill; the rest absorbs scheduling jitter. */
	private static final double TARGET_SHARE = 0.95;

	private double weight;

	private double batches;

	private double squares;

	private double times;

	private double products;

	private double fixedMicros = PRIOR_STEP_MICROS;

	private double sequenceMicros = PRIOR_SEQUENCE_MICROS;

	void observe(double batch, double micros) {
		this.weight = this.weight * FORGETTING + 1;
		this.batches = this.batches * FORGETTING + batch;
		this.squares = this.squares * FORGETTING + batch * batch;
		this.times = this.times * FORGETTING + micros;
		this.products = this.products * FORGETTING + batch * micros;
		double w = this.weight;
		double n = this.batches;
		double nn = this.squares;
		double y = this.times;
		double ny = this.products;
		for (double prior : PRIOR_BATCHES) {
			double expected = PRIOR_STEP_MICROS + prior * PRIOR_SEQUENCE_MICROS;
			w += PRIOR_WEIGHT;
			n += PRIOR_WEIGHT * prior;
			nn += PRIOR_WEIGHT * prior * prior;
			y += PRIOR_WEIGHT * expected;
			ny += PRIOR_WEIGHT * prior * expected;
		}
		this.sequenceMicros = Math.max(1, (w * ny - n * y) / (w * nn - n * n));
		this.fixedMicros = Math.max(0, (y - this.sequenceMicros * n) / w);
	}

	double micros(double batch) {
		return this.fixedMicros + batch * this.sequenceMicros;
	}

	/**
	 * Returns the largest batch whose step stays in a target.
	 * @param targetMicros time between tokens
	 * @param timeFactor time of the engine in relation to the model
	 * @return the batch size, 0 if even one sequence is too slow
	 */
	int batchLimit(double targetMicros, double timeFactor) {
		double room = targetMicros * TARGET_SHARE / timeFactor - this.fixedMicros;
		return (int) Math.max(0, Math.min(100_000, room / this.sequenceMicros));
	}

}
