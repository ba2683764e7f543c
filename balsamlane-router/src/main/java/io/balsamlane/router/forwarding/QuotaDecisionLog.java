package io.balsamlane.router.forwarding;

import java.util.Optional;

import io.balsamlane.core.model.CustomerId;
import io.balsamlane.core.model.HostName;
import io.balsamlane.router.quota.QuotaListener;

/**
 * Counts the decisions on quotas and logs which customers are beyond theirs.
 */
public final class QuotaDecisionLog implements QuotaListener {

	private final DecisionLog log;

	private final ForwardingMetrics metrics;

	private QuotaDecisionLog(DecisionLog log, ForwardingMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Create a log of quotas.
	 * @param log receives the customers that are beyond their quota
	 * @param metrics counts the decisions
	 * @return the log of quotas
	 */
	public static QuotaDecisionLog create(DecisionLog log, ForwardingMetrics metrics) {
		return new QuotaDecisionLog(log, metrics);
	}

	@Override
	public void decided(String kind) {
		this.metrics.count("quota_decisions_total", kind);
	}

	@Override
	public void refusalsStarted(CustomerId customer, Optional<HostName> decidedBy, long viewAgeMillis) {
		this.log.log("quota-exceeded", "", "customer", customer, "decided_by",
				decidedBy.map(HostName::value).orElse("local share"), "view_age_millis", viewAgeMillis);
	}

	@Override
	public void refusalsEnded(CustomerId customer, long refused, long lastedMillis) {
		this.log.log("quota-refusals-ended", "", "customer", customer, "refused", refused, "lasted_millis",
				lastedMillis);
	}

}
