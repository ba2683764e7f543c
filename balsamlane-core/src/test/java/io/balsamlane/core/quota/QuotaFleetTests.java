package io.balsamlane.core.quota;

import java.util.Locale;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against customers that exceed their quota when routers fail, and against
 * requests below the quota that are refused because the traffic of a customer is uneven
 * and moves. The window and the limit are the platform's bounds.
 */
class QuotaFleetTests {

	private static final int SURGE = 6;

	@ParameterizedTest
	@CsvSource({ "7,1", "7,2", "7,3", "86,1", "86,2", "86,3", "300,1" })
	void fleetStaysWithinQuotaAndRefusesLessThanEqualShares(int size, long seed) {
		QuotaFleetModel fleet = run(size, false, seed);
		QuotaFleetModel equal = run(size, true, seed);
		double[] marks = { 0, 10, 25, 35, 55, 65, 80, 100 };
		String[] names = { "start", "surge", "quarter killed", "partition and surge", "owner paused in surge",
				"all restarted in surge", "one killed each second" };
		StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
				"quota %d routers seed %d: largest window %.3f of limit (equal shares %.3f), wrongly refused %.4f "
						+ "(equal shares %.4f), %.0f messages/s for %.0f requests/s, %.4f decided locally",
				size, seed, fleet.largestWindow(QuotaTolerance.DEFAULT), equal.largestWindow(QuotaTolerance.DEFAULT),
				fleet.wronglyRefused(0, 100), equal.wronglyRefused(0, 100), fleet.messages / fleet.seconds(),
				fleet.requests / fleet.seconds(), (double) fleet.localDecisions / fleet.requests));
		for (int phase = 0; phase < names.length; phase++) {
			text.append(String.format(Locale.ROOT, "; %s %.4f (%.4f)", names[phase],
					fleet.wronglyRefused(marks[phase], marks[phase + 1]),
					equal.wronglyRefused(marks[phase], marks[phase + 1])));
		}
		System.out.println(text);
		assertThat(fleet.largestWindow(QuotaTolerance.DEFAULT)).isLessThanOrEqualTo(1);
		assertThat(fleet.wronglyRefused(0, 100)).isLessThan(equal.wronglyRefused(0, 100) / 2);
	}

	private static QuotaFleetModel run(int size, boolean equalShares, long seed) {
		QuotaFleetModel fleet = new QuotaFleetModel(size, equalShares, seed);
		fleet.runUntil(11);
		fleet.factor(3, SURGE);
		fleet.runUntil(19);
		fleet.factor(3, 1);
		fleet.runUntil(25);
		fleet.kill(0.25, 3);
		fleet.runUntil(35);
		fleet.factor(0, SURGE);
		fleet.factor(5, SURGE);
		fleet.runUntil(36);
		fleet.partition(0.35);
		fleet.runUntil(46);
		fleet.factor(0, 1);
		fleet.factor(5, 1);
		fleet.runUntil(48);
		fleet.heal();
		fleet.runUntil(55);
		fleet.factor(0, SURGE);
		fleet.runUntil(56);
		fleet.pauseOwner(0, 4);
		fleet.runUntil(63);
		fleet.factor(0, 1);
		fleet.runUntil(65);
		fleet.factor(0, SURGE);
		fleet.runUntil(67);
		fleet.kill(1, 1);
		fleet.runUntil(73);
		fleet.factor(0, 1);
		fleet.runUntil(80);
		fleet.factor(1, SURGE);
		fleet.factor(2, SURGE);
		for (int second = 80; second < 90; second++) {
			fleet.runUntil(second);
			fleet.kill(1.0 / size, 2);
		}
		fleet.factor(1, 1);
		fleet.factor(2, 1);
		fleet.runUntil(100);
		return fleet;
	}

}
