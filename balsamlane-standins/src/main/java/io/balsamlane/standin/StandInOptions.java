package io.balsamlane.standin;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.balsamlane.standin.engine.EngineBehaviour;
import io.balsamlane.standin.engine.EngineCapacity;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Defines and parses the command line options of the stand-ins.
 */
final class StandInOptions {

	private StandInOptions() {
	}

	static Options all() {
		return new Options().addOption(null, "port", true, "port to listen on; 0 lets the kernel choose")
			.addOption(null, "name", true, "name of the engine or replica; with --count NAME-1, NAME-2 and so on")
			.addOption(null, "count", true, "number of stand-ins in this process")
			.addOption(null, "lag-millis", true, "lag of the host list")
			.addOption(null, "service-time-millis", true, "time of one call of a plain service")
			.addOption(null, "file", true, "JSON file with the hosts")
			.addOption(null, "memory-pieces", true, "engine memory, in pieces")
			.addOption(null, "piece-tokens", true, "tokens in one piece")
			.addOption(null, "prefill-tokens-per-second", true, "speed of prefill")
			.addOption(null, "step-micros", true, "fixed time of a decode step")
			.addOption(null, "step-per-sequence-micros", true, "time that each sequence adds to a step")
			.addOption(null, "eviction-millis", true, "time for which a prefill result is kept")
			.addOption(null, "kv-bytes-per-token", true, "size of the KV cache of one token")
			.addOption(null, "link-bytes-per-second", true, "rate limit of KV export")
			.addOption(null, "cache-blocks", true, "blocks of the prefix cache")
			.addOption(null, "report-lag-millis", true, "greatest age of load reports, lag of cache events")
			.addOption(null, "report-gap-share", true, "share of load reports and cache events that are lost")
			.addOption(null, "ignore-fencing", false, "carry out orders with a stale fencing number")
			.addOption(null, "order-millis", true, "time until an order takes effect")
			.addOption(null, "one-way-millis", true, "one-way delays to other hosts: NAME=MILLIS,NAME=MILLIS")
			.addOption(null, "seed", true, "seed of the losses");
	}

	static EngineCapacity capacity(CommandLine line) {
		EngineCapacity defaults = EngineCapacity.ofDefaults();
		return new EngineCapacity(number(line, "memory-pieces", defaults.memoryPieces()),
				number(line, "piece-tokens", defaults.pieceTokens()),
				number(line, "prefill-tokens-per-second", defaults.prefillTokensPerSecond()),
				number(line, "step-micros", defaults.stepMicros()),
				number(line, "step-per-sequence-micros", defaults.stepPerSequenceMicros()),
				number(line, "eviction-millis", defaults.evictionMillis()),
				number(line, "kv-bytes-per-token", defaults.kvBytesPerToken()),
				Long.parseLong(
						line.getOptionValue("link-bytes-per-second", Long.toString(defaults.linkBytesPerSecond()))),
				number(line, "cache-blocks", defaults.cacheBlocks()),
				number(line, "report-lag-millis", defaults.reportLagMillis()));
	}

	static EngineBehaviour behaviour(CommandLine line) {
		Map<String, Integer> delays = Stream.of(line.getOptionValue("one-way-millis", "").split(","))
			.filter((entry) -> !entry.isBlank())
			.map((entry) -> entry.split("="))
			.collect(Collectors.toMap((entry) -> entry[0], (entry) -> Integer.parseInt(entry[1])));
		return new EngineBehaviour(!line.hasOption("ignore-fencing"), number(line, "order-millis", 0),
				Double.parseDouble(line.getOptionValue("report-gap-share", "0")), delays,
				Long.parseLong(line.getOptionValue("seed", "1")));
	}

	private static int number(CommandLine line, String option, int defaultValue) {
		return Integer.parseInt(line.getOptionValue(option, Integer.toString(defaultValue)));
	}

}
