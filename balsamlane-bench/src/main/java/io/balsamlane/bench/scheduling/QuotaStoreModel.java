package io.balsamlane.bench.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates the store calls of a quota that routers share by compare-and-swap on one
 * register per customer. The simulated store answers in 3 ms regardless of its load.
 */
final class QuotaStoreModel {

	private static final double CALL_SECONDS = 0.003;

	private static final int SECONDS = 20;

	private static final int MAX_TRIES = 10;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingDouble(Step::atSeconds));

	private final Map<Integer, Integer> versions = new HashMap<>();

	private int reads;

	private int writes;

	private int conflicts;

	private QuotaStoreModel() {
	}

	/**
	 * Run the model.
	 * @param name name of the case, printed in the first column
	 * @param routers number of routers
	 * @param callers number of customers
	 * @param perSecond arrival rate over all routers, in requests per second
	 * @param sliceSeconds period for which a router reserves a customer's quota in one
	 * go, in seconds; 0 to reserve it for each request
	 * @param seed seed of the arrival times, customers and routers
	 * @return the name, the duration in seconds, and the reads, writes and conflicts per
	 * second, as a line of CSV
	 */
	static String run(String name, int routers, int callers, double perSecond, double sliceSeconds, long seed) {
		QuotaStoreModel model = new QuotaStoreModel();
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		Map<Long, Double> slices = new HashMap<>();
		double now = 0;
		while (now < SECONDS) {
			now -= Math.log(1 - random.nextDouble()) / perSecond;
			int caller = random.nextInt(callers);
			long slice = random.nextInt(routers) * (long) callers + caller;
			if (sliceSeconds == 0 || slices.getOrDefault(slice, -1.0) <= now) {
				slices.put(slice, now + sliceSeconds);
				model.steps.add(new Step(now + CALL_SECONDS, caller, -1, 1));
			}
		}
		model.runAll();
		return String.format(Locale.ROOT, "%s,%d,%.0f,%.0f,%.0f", name, SECONDS, (double) model.reads / SECONDS,
				(double) model.writes / SECONDS, (double) model.conflicts / SECONDS);
	}

	private void runAll() {
		while (!this.steps.isEmpty()) {
			Step step = this.steps.remove();
			int version = this.versions.getOrDefault(step.caller(), 0);
			if (step.readVersion() < 0) {
				this.reads++;
				this.steps.add(new Step(step.atSeconds() + CALL_SECONDS, step.caller(), version, step.tries()));
				continue;
			}
			this.writes++;
			if (step.readVersion() == version) {
				this.versions.put(step.caller(), version + 1);
			}
			else {
				this.conflicts++;
				if (step.tries() < MAX_TRIES) {
					this.steps.add(new Step(step.atSeconds() + CALL_SECONDS, step.caller(), -1, step.tries() + 1));
				}
			}
		}
	}

	private record Step(double atSeconds, int caller, int readVersion, int tries) {
	}

}
