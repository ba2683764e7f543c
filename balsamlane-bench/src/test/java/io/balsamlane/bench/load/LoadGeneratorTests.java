package io.balsamlane.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the load generator reports no better answers or latencies than its customers
 * saw.
 */
class LoadGeneratorTests {

	private static final Workload WORKLOAD = new Workload("m", List.of("a", "b"), 2, 300, 50, 0.5, 16, 0);

	private final LoadGenerator generator = LoadGenerator.create(1);

	@AfterEach
	void stop() {
		this.generator.stop();
	}

	private static UniformRandomProvider random() {
		return RandomSource.XO_RO_SHI_RO_128_PP.create(42);
	}

	private LoadReport load(int requests, ModelTransport transport) {
		return this.generator.openLoop(new long[requests], CallSource.create(WORKLOAD, random()), transport,
				Duration.ofMillis(500));
	}

	@Test
	void answerWithOneWrongByteIsNotGood() {
		LoadReport report = load(3, (client, call, listener) -> {
			String answer = call.expected();
			listener.token((call.index() == 1) ? "x" + answer.substring(1) : answer);
			listener.end((call.index() == 2) ? "no-engine" : "", call.index() == 2);
			return () -> {
			};
		});
		assertThat(report.count(CallResult.Outcome.COMPLETE)).isEqualTo(1);
		assertThat(report.count(CallResult.Outcome.WRONG)).isEqualTo(1);
		assertThat(report.errorKinds()).containsOnlyKeys("no-engine");
		assertThat(report.good(CallResult.Targets.ofDesign())).isEqualTo(1);
	}

	@Test
	void requestsDelayedByTheLoadGeneratorKeepTheirDueTime() {
		LoadReport report = load(5, (client, call, listener) -> {
			sleep(40);
			listener.token(call.expected());
			listener.end("", false);
			return () -> {
			};
		});
		assertThat(report.firstToken().getMaxValue()).isGreaterThan(195_000_000L);
	}

	@Test
	void requestsWithoutAnAnswerAreReportedAsUnfinished() {
		LoadReport report = load(4, (client, call, listener) -> () -> {
		});
		assertThat(report.count(CallResult.Outcome.UNFINISHED)).isEqualTo(4);
	}

	@Test
	void equalSeedsGiveEqualLoads() {
		assertThat(Arrivals.threefoldStep(random(), 50, 5, 10))
			.containsExactly(Arrivals.threefoldStep(random(), 50, 5, 10));
		CallSource first = CallSource.create(WORKLOAD, random());
		CallSource second = CallSource.create(WORKLOAD, random());
		IntStream.range(0, 50).forEach((i) -> assertThat(first.next(0)).isEqualTo(second.next(0)));
	}

	@Test
	void threefoldStepTriplesTheRate() {
		long[] times = Arrivals.threefoldStep(random(), 100, 10, 20);
		long before = IntStream.range(0, times.length).filter((i) -> times[i] < 10_000_000_000L).count();
		assertThat((double) (times.length - before) / before).isBetween(2.7, 3.3);
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
