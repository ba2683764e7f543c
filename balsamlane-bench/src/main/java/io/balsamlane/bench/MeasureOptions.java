package io.balsamlane.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;

/**
 * Options of one run of an experiment.
 *
 * @param name name of the experiment
 * @param seed seed of the random sources
 * @param out directory for the files
 * @param seconds duration of each load, if it was given
 * @param policies scheduling policies to compare; empty for the experiment's choice
 * @param deployments deployments to measure; empty for all
 * @param loads offered loads as shares of the capacity; empty for the experiment's choice
 * @param command the command line, for the header of the files
 */
record MeasureOptions(String name, long seed, Path out, OptionalInt seconds, List<String> policies,
		List<String> deployments, List<Double> loads, String command) {

	int secondsOr(int defaultSeconds) {
		return this.seconds.orElse(defaultSeconds);
	}

	Path file(String suffix) {
		return this.out.resolve(this.name + "-seed" + this.seed + suffix);
	}

}
