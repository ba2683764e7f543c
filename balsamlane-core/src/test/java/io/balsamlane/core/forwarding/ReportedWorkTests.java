package io.balsamlane.core.forwarding;

import java.util.Map;

import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.ServerName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that is counted twice or remains after its router is gone.
 */
class ReportedWorkTests {

	private static final long SECOND = 1_000_000_000L;

	private static final HostName A = HostName.of("a");

	private static final HostName B = HostName.of("b");

	private static final ServerName ENGINE = ServerName.of("e");

	private static final ServerName OTHER = ServerName.of("f");

	private static final EngineWork ONE = new EngineWork(3000, 1, 3800);

	private static final EngineWork TWO = new EngineWork(6000, 2, 7600);

	private final ReportedWork work = ReportedWork.create();

	private boolean report(HostName from, Map<ServerName, EngineWork> changes, boolean complete, long nowNanos) {
		return this.work.applyReport(from, WorkScope.OWN, changes, complete, nowNanos);
	}

	@Test
	void sumsReportsOfSeveralRouters() {
		report(A, Map.of(ENGINE, ONE), true, 0);
		report(B, Map.of(ENGINE, ONE, OTHER, ONE), true, 0);
		assertThat(this.work.workOn(ENGINE, 0)).isEqualTo(TWO);
		assertThat(this.work.workOn(OTHER, 0)).isEqualTo(ONE);
	}

	@Test
	void incrementalReportReplacesOnlyIncludedEngines() {
		report(A, Map.of(ENGINE, ONE, OTHER, ONE), true, 0);
		assertThat(report(A, Map.of(ENGINE, TWO), false, 1)).isTrue();
		assertThat(report(A, Map.of(OTHER, EngineWork.NONE), false, 2)).isTrue();
		assertThat(this.work.workOn(ENGINE, 2)).isEqualTo(TWO);
		assertThat(this.work.workOn(OTHER, 2)).isEqualTo(EngineWork.NONE);
		assertThat(this.work.workReportedBy(A, 2)).isEqualTo(Map.of(ENGINE, TWO));
	}

	@Test
	void completeReportReplacesPreviousReport() {
		report(A, Map.of(ENGINE, ONE, OTHER, ONE), true, 0);
		report(A, Map.of(OTHER, TWO), true, 1);
		assertThat(this.work.workOn(ENGINE, 1)).isEqualTo(EngineWork.NONE);
		assertThat(this.work.workOn(OTHER, 1)).isEqualTo(TWO);
	}

	@Test
	void rejectsIncrementalReportWithoutMatchingBase() {
		assertThat(report(A, Map.of(ENGINE, ONE), false, 0)).isFalse();
		assertThat(this.work.workOn(ENGINE, 0)).isEqualTo(EngineWork.NONE);
		report(A, Map.of(ENGINE, ONE), true, 0);
		assertThat(this.work.applyReport(A, WorkScope.REST, Map.of(OTHER, ONE), false, 1)).isFalse();
	}

	@Test
	void reportOfSilentRouterExpiresWhileOthersRemain() {
		report(A, Map.of(ENGINE, ONE), true, 0);
		report(B, Map.of(ENGINE, ONE), true, SECOND);
		assertThat(this.work.workOn(ENGINE, 2 * SECOND)).isEqualTo(ONE);
		assertThat(report(A, Map.of(ENGINE, ONE), false, 2 * SECOND)).isFalse();
		assertThat(this.work.workOn(ENGINE, 3 * SECOND)).isEqualTo(EngineWork.NONE);
	}

	@Test
	void reportThatCountsAllRequestsReplacesOtherReports() {
		report(A, Map.of(ENGINE, ONE), true, 0);
		this.work.applyReport(B, WorkScope.REST, Map.of(ENGINE, TWO), true, 0);
		this.work.retainOnly(B);
		assertThat(this.work.workOn(ENGINE, 0)).isEqualTo(TWO);
		assertThat(this.work.sum(WorkScope.OWN, 0)).isEmpty();
	}

	@Test
	void reportOfNewCollectorReplacesReportOfFormerCollector() {
		this.work.applyReport(A, WorkScope.REST, Map.of(ENGINE, ONE), true, 0);
		this.work.retainOnly(B);
		this.work.applyReport(B, WorkScope.REST, Map.of(ENGINE, TWO), true, 1);
		assertThat(this.work.workOn(ENGINE, 1)).isEqualTo(TWO);
	}

	@Test
	void reservationCountsUntilReportOfItsRouter() {
		this.work.addReservation(A, ENGINE, ONE, 0);
		report(B, Map.of(ENGINE, ONE), true, 1);
		assertThat(this.work.workOn(ENGINE, 1)).isEqualTo(TWO);
		report(A, Map.of(ENGINE, ONE), true, 2);
		assertThat(this.work.workOn(ENGINE, 2)).isEqualTo(TWO);
	}

	@Test
	void reservationExpiresIfItsRouterNeverReports() {
		this.work.addReservation(A, ENGINE, ONE, 0);
		assertThat(this.work.workOn(ENGINE, SECOND)).isEqualTo(EngineWork.NONE);
	}

}
