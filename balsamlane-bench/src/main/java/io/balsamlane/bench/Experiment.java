package io.balsamlane.bench;

/**
 * One measurement with one seed.
 */
public interface Experiment {

	/**
	 * Runs the measurement and writes its files.
	 */
	void run();

}
