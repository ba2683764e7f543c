package io.balsamlane.core.scheduling;

/**
 * Linear model of the duration of a decode step as a function of the batch size, fitted
 * to reported times by least squares with exponential forgetting.
 */
final class StepModel {

	private static final double FORGETTING_FACTOR = 0.998;

	private static final double PRIOR_WEIGHT = 4;

	private static final double PRIOR_STEP_MICROS = 12_000;

	private static final double PRIOR_SEQUENCE_MICROS = 500;

	/** Batch sizes of the prior samples, far enough apart to determine the slope. */
	private static final double[] PRIOR_BATCHES = { 1, 33 };

	/** Fraction of the target that a step may use; the rest absorbs scheduling jitter. */
	private static final double TARGET_SHARE = 0.95;

	private double sumWeights;

	private double sumBatches;

	private double sumSquaredBatches;

	private double sumMicros;

	private double sumProducts;

	private double fixedMicros = PRIOR_STEP_MICROS;

	private double sequenceMicros = PRIOR_SEQUENCE_MICROS;

	void observe(double batch, double micros) {
		this.sumWeights = this.sumWeights * FORGETTING_FACTOR + 1;
		this.sumBatches = this.sumBatches * FORGETTING_FACTOR + batch;
		this.sumSquaredBatches = this.sumSquaredBatches * FORGETTING_FACTOR + batch * batch;
		this.sumMicros = this.sumMicros * FORGETTING_FACTOR + micros;
		this.sumProducts = this.sumProducts * FORGETTING_FACTOR + batch * micros;
		double w = this.sumWeights;
		double n = this.sumBatches;
		double nn = this.sumSquaredBatches;
		double y = this.sumMicros;
		double ny = this.sumProducts;
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
	 * Return the largest batch size whose step time stays within a target.
	 * @param targetMicros target for the time between tokens, in microseconds
	 * @param timeFactor step time of the engine divided by the time of this model
	 * @return the batch size, 0 if even a single sequence exceeds the target
	 */
	int batchLimit(double targetMicros, double timeFactor) {
		double availableMicros = targetMicros * TARGET_SHARE / timeFactor - this.fixedMicros;
		return (int) Math.max(0, Math.min(100_000, availableMicros / this.sequenceMicros));
	}

}
