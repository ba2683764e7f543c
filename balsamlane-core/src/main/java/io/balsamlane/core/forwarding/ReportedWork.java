package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;

/**
 * Outstanding work on engines that other routers report, and its sum. Reports hold the
 * whole work of their source or what has changed since the report before. Not safe for
 * use by several threads.
 */
public final class ReportedWork {

	/** Reports arrive several times a second; after this time their sender is gone. */
	private static final long REPORT_LIFE_NANOS = 2_000_000_000L;

	/**
	 * Time until a reserved request is part of the reports; that of other regions takes
	 * longest.
	 */
	private static final long RESERVATION_LIFE_NANOS = 700_000_000L;

	/**
	 * Bounds memory, far above what a region starts in the life of a reservation. Further
	 * ones are granted without being counted.
	 */
	private static final int MAX_RESERVATIONS = 4096;

	private final List<Reservation> reservations = new ArrayList<>();

	private final Map<HostName, Report> reports = new HashMap<>();

	private final Map<ServerName, EngineWork> sum = new HashMap<>();

	private long oldestNanos;

	private ReportedWork() {
	}

	/**
	 * Creates an empty record.
	 * @return the record
	 */
	public static ReportedWork create() {
		return new ReportedWork();
	}

	/**
	 * Takes over a report.
	 * @param from the router that sent it
	 * @param scope whose requests it counts
	 * @param work the work by engine
	 * @param complete true if engines that are left out have no work, false if theirs has
	 * not changed
	 * @param nowNanos the monotonic time
	 * @return false if the report builds on one that is not known
	 */
	public boolean reported(HostName from, WorkScope scope, Map<ServerName, EngineWork> work, boolean complete,
			long nowNanos) {
		expire(nowNanos);
		if (scope == WorkScope.OWN) {
			// Messages of a router arrive in their order, so this report counts the
			// requests.
			withdrawReservations((reservation) -> reservation.from().equals(from));
		}
		Report report = this.reports.get(from);
		if (!complete && (report == null || report.scope != scope)) {
			return false;
		}
		if (report == null) {
			report = new Report();
			this.reports.put(from, report);
		}
		if (complete) {
			withdraw(report);
			report.work.clear();
		}
		report.scope = scope;
		report.receivedNanos = nowNanos;
		Map<ServerName, EngineWork> held = report.work;
		work.forEach((engine, next) -> {
			EngineWork before = next.equals(EngineWork.NONE) ? held.remove(engine) : held.put(engine, next);
			add(engine, (before != null) ? next.minus(before) : next);
		});
		return true;
	}

	/**
	 * Counts a request that a router is about to send, until its report counts it.
	 * @param from the router
	 * @param engine the engine
	 * @param work the work of the request
	 * @param nowNanos the monotonic time
	 */
	public void reserved(HostName from, ServerName engine, EngineWork work, long nowNanos) {
		expire(nowNanos);
		if (this.reservations.size() < MAX_RESERVATIONS) {
			this.reservations.add(new Reservation(from, engine, work, nowNanos));
			add(engine, work);
		}
	}

	private void withdrawReservations(Predicate<Reservation> over) {
		this.reservations.stream()
			.filter(over)
			.forEach((reservation) -> add(reservation.engine(), EngineWork.NONE.minus(reservation.work())));
		this.reservations.removeIf(over);
	}

	/**
	 * Takes over what the collector says of one engine, which is newer than its report.
	 * @param engine the engine
	 * @param work the work of all other routers on it
	 */
	public void corrected(ServerName engine, EngineWork work) {
		this.reports.values()
			.stream()
			.filter((report) -> report.scope == WorkScope.REST)
			.findFirst()
			.ifPresent((rest) -> {
				EngineWork before = rest.work.put(engine, work);
				add(engine, (before != null) ? work.minus(before) : work);
			});
	}

	private void add(ServerName engine, EngineWork difference) {
		EngineWork next = this.sum.getOrDefault(engine, EngineWork.NONE).plus(difference);
		if (next.equals(EngineWork.NONE)) {
			this.sum.remove(engine);
		}
		else {
			this.sum.put(engine, next);
		}
	}

	/**
	 * Drops the reports of other routers, because one router's report counts the requests
	 * of all.
	 * @param from the router whose report is kept
	 */
	public void retain(HostName from) {
		this.reports.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(from))
			.forEach((entry) -> withdraw(entry.getValue()));
		this.reports.keySet().removeIf((host) -> !host.equals(from));
	}

	private void expire(long nowNanos) {
		if (!this.reservations.isEmpty()) {
			withdrawReservations((reservation) -> nowNanos - reservation.atNanos() >= RESERVATION_LIFE_NANOS);
		}
		if (nowNanos - this.oldestNanos < REPORT_LIFE_NANOS) {
			return;
		}
		this.reports.values().stream().filter((report) -> report.expired(nowNanos)).forEach(this::withdraw);
		this.reports.values().removeIf((report) -> report.expired(nowNanos));
		this.oldestNanos = this.reports.values()
			.stream()
			.mapToLong((report) -> report.receivedNanos)
			.min()
			.orElse(nowNanos);
	}

	private void withdraw(Report report) {
		report.work.forEach((engine, held) -> add(engine, EngineWork.NONE.minus(held)));
	}

	/**
	 * Returns the work on an engine that is reported and not outdated.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 * @return the work
	 */
	public EngineWork on(ServerName engine, long nowNanos) {
		expire(nowNanos);
		return this.sum.getOrDefault(engine, EngineWork.NONE);
	}

	/**
	 * Returns the sum of the reports with a scope.
	 * @param scope the scope
	 * @param nowNanos the monotonic time
	 * @return the work by engine; engines without work are left out
	 */
	public Map<ServerName, EngineWork> sum(WorkScope scope, long nowNanos) {
		expire(nowNanos);
		Map<ServerName, EngineWork> total = new HashMap<>();
		this.reports.values()
			.stream()
			.filter((report) -> report.scope == scope)
			.forEach((report) -> report.work.forEach((engine, held) -> total.merge(engine, held, EngineWork::plus)));
		return total;
	}

	/**
	 * Returns the last report of a router.
	 * @param from the router
	 * @param nowNanos the monotonic time
	 * @return its work by engine, empty if there is no report
	 */
	public Map<ServerName, EngineWork> of(HostName from, long nowNanos) {
		expire(nowNanos);
		Report report = this.reports.get(from);
		return (report != null) ? Map.copyOf(report.work) : Map.of();
	}

	private record Reservation(HostName from, ServerName engine, EngineWork work, long atNanos) {
	}

	private static final class Report {

		private final Map<ServerName, EngineWork> work = new HashMap<>();

		private WorkScope scope;

		private long receivedNanos;

		boolean expired(long nowNanos) {
			return nowNanos - this.receivedNanos >= REPORT_LIFE_NANOS;
		}

	}

}
