package io.balsamlane.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * Processor time and memory of a process, from the operating system.
 *
 * @param cpu processor time since its start
 * @param residentKib resident memory, in KiB
 * @param peakKib largest resident memory since its start, in KiB
 */
record ProcessUsage(Duration cpu, long residentKib, long peakKib) {

	static ProcessUsage of(long pid) {
		Duration cpu = ProcessHandle.of(pid)
			.flatMap((process) -> process.info().totalCpuDuration())
			.orElse(Duration.ZERO);
		Path status = Path.of("/proc", Long.toString(pid), "status");
		try {
			String text = Files.exists(status) ? Files.readString(status) : "";
			return new ProcessUsage(cpu, field(text, "VmRSS:"), field(text, "VmHWM:"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long field(String text, String name) {
		return text.lines()
			.filter((line) -> line.startsWith(name))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")))
			.findFirst()
			.orElse(0);
	}

	/**
	 * Returns the cores used since an earlier sample.
	 * @param earlier the earlier sample
	 * @param nanos time between the samples, in nanoseconds
	 * @return the cores, on average
	 */
	double coresSince(ProcessUsage earlier, long nanos) {
		return (double) this.cpu.minus(earlier.cpu).toNanos() / nanos;
	}

}
