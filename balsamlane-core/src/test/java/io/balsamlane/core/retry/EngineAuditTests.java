package io.balsamlane.core.retry;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EngineAudit}. Guards against engines that no router audits and against
 * orphaned attempts that are not attributed to a router.
 */
class EngineAuditTests {

	private static final List<Member> MEMBERS = Stream.of("r-1", "r-2", "r-3", "r-4", "r-5")
		.map((host) -> new Member(HostName.of(host), 1, Place.of("doto-a"), Endpoint.of("127.0.0.1", 1)))
		.toList();

	@Test
	void oneRouterAuditsEachEngineAndTwoAreStandbys() {
		IntStream.range(0, 50).mapToObj((number) -> "engine-" + number).forEach((engine) -> {
			List<EngineAudit.Assignment> assignments = MEMBERS.stream()
				.map((self) -> EngineAudit.create(10).assignment(new MemberView(self, MEMBERS), engine))
				.toList();
			assertThat(assignments).filteredOn(EngineAudit.Assignment::audits).hasSize(1);
			assertThat(assignments).filteredOn((assignment) -> !assignment.watches().isEmpty()).hasSize(2);
		});
	}

	@Test
	void standbyTakesOverFromUnreachableRouter() {
		HostName owner = new MemberView(MEMBERS.get(0), MEMBERS).owner("audit/engine").orElseThrow().host();
		long auditing = MEMBERS.stream().filter((member) -> !member.host().equals(owner)).filter((self) -> {
			EngineAudit audit = EngineAudit.create(10);
			assertThat(audit.recordDeliveryFailure(owner)).isFalse();
			assertThat(audit.assignment(new MemberView(self, MEMBERS), "engine").audits()).isFalse();
			assertThat(audit.recordDeliveryFailure(owner)).isTrue();
			return audit.assignment(new MemberView(self, MEMBERS), "engine").audits();
		}).count();
		assertThat(auditing).isEqualTo(1);
	}

	@Test
	void answerResetsDeliveryFailures() {
		EngineAudit audit = EngineAudit.create(10);
		HostName host = HostName.of("r-1");
		audit.recordDeliveryFailure(host);
		audit.recordAnswer(host);
		assertThat(audit.recordDeliveryFailure(host)).isFalse();
		assertThat(audit.presumedDead()).isEqualTo(Set.of());
	}

	@Test
	void routerIsParsedFromAttemptId() {
		assertThat(EngineAudit.routerOf("router-1-mabc-17.2")).contains(HostName.of("router-1"));
		assertThat(EngineAudit.routerOf("foreign")).isEmpty();
		assertThat(EngineAudit.routerOf("-1-2.1")).isEmpty();
	}

}
