package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;

/**
 * Aggregates the outstanding work on engines that other routers report. A report contains
 * either the complete work of its source or the changes since the previous report. Not
 * thread-safe.
 */
public final class ReportedWork {

	/**
	 * Time after which the sender of a report is considered gone. Reports arrive several
	 * times a second.
	 */
	private static final long REPORT_LIFE_NANOS = 2_000_000_000L;

	/**
	 * Time within which a reserved request appears in reports; those of other regions
	 * take longest.
	 */
	private static final long RESERVATION_LIFE_NANOS = 700_000_000L;

	/**
	 * Limits memory use. Far above the number of requests that a region starts during the
	 * lifetime of a reservation; further reservations are granted without being counted.
	 */
	private static final int MAX_RESERVATIONS = 4096;

	private final List<Reservation> reservations = new ArrayList<>();

	private final Map<HostName, Report> reports = new HashMap<>();

	private final Map<ServerName, EngineWork> sum = new HashMap<>();

	private long oldestNanos;

	private ReportedWork() {
	}

	/**
	 * Create an instance without reports.
	 * @return the instance
	 */
	public static ReportedWork create() {
		return new ReportedWork();
	}

	/**
	 * Apply a report.
	 * @param from the router that sent it
	 * @param scope routers whose requests the report counts
	 * @param work the work by engine
	 * @param complete true if engines missing from the report have no work, false if
	 * their work has not changed
	 * @param nowNanos the monotonic time
	 * @return false if the report contains changes to an unknown report
	 */
	public boolean applyReport(HostName from, WorkScope scope, Map<ServerName, EngineWork> work, boolean complete,
			long nowNanos) {
		expire(nowNanos);
		if (scope == WorkScope.OWN) {
			// Messages of a router arrive in order, so this report includes the
			// reserved requests.
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
	 * Count a request that a router is about to send until a report of that router
	 * includes it.
	 * @param from the router
	 * @param engine the engine
	 * @param work the work of the request
	 * @param nowNanos the monotonic time
	 */
	public void addReservation(HostName from, ServerName engine, EngineWork work, long nowNanos) {
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
	 * Apply the collector's value for one engine, which is more recent than its report.
	 * @param engine the engine
	 * @param work the work of all other routers on the engine
	 */
	public void applyCorrection(ServerName engine, EngineWork work) {
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
	 * Discard the reports of all routers but one, whose report counts the requests of all
	 * routers.
	 * @param from the router whose report is kept
	 */
	public void retainOnly(HostName from) {
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
	 * Return the work on an engine according to unexpired reports and reservations.
	 * @param engine the engine
	 * @param nowNanos the monotonic time
	 * @return the work
	 */
	public EngineWork workOn(ServerName engine, long nowNanos) {
		expire(nowNanos);
		return this.sum.getOrDefault(engine, EngineWork.NONE);
	}

	/**
	 * Return the sum of the reports with the given scope.
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
	 * Return the work last reported by a router.
	 * @param from the router
	 * @param nowNanos the monotonic time
	 * @return the work by engine, empty if there is no report
	 */
	public Map<ServerName, EngineWork> workReportedBy(HostName from, long nowNanos) {
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
