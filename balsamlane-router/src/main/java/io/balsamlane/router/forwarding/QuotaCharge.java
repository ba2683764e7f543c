package io.balsamlane.router.forwarding;

import io.balsamlane.core.forwarding.Customer;
import io.balsamlane.core.forwarding.RequestMetadata;
import io.balsamlane.router.quota.QuotaDecision;
import io.balsamlane.router.quota.QuotaService;
import io.vertx.core.Future;

/**
 * Tokens that one request takes from the quota of its customer. They are requested when
 * the head of the request has been read, and returned if no server runs the request.
 */
final class QuotaCharge {

	/**
	 * A grant is used within this time or requested again. Otherwise requests whose
	 * bodies are held back could start together and exceed the quota.
	 */
	private static final long VALID_NANOS = 500_000_000L;

	private final QuotaService quotas;

	private final Customer customer;

	private final long version;

	private final long tokens;

	private Future<QuotaDecision> decision;

	private long decidedNanos;

	private boolean returned;

	private QuotaCharge(QuotaService quotas, Customer customer, long version, long tokens) {
		this.quotas = quotas;
		this.customer = customer;
		this.version = version;
		this.tokens = tokens;
	}

	/**
	 * Request the tokens of a request.
	 * @param quotas decides on the tokens
	 * @param customer the customer that sent the request
	 * @param version version of the configuration that contains the customer
	 * @param metadata metadata of the request
	 * @return the charge
	 */
	static QuotaCharge request(QuotaService quotas, Customer customer, long version, RequestMetadata metadata) {
		QuotaCharge charge = new QuotaCharge(quotas, customer, version, customer.quota().cost(metadata));
		charge.acquire();
		return charge;
	}

	private void acquire() {
		this.decision = this.quotas.acquire(this.customer.id(), this.customer.quota(), this.version, this.tokens);
		this.decision.onSuccess((decided) -> this.decidedNanos = System.nanoTime());
	}

	/**
	 * Return the decision on a request whose body may still be arriving.
	 * @return the decision; the future never fails
	 */
	Future<QuotaDecision> decision() {
		return this.decision;
	}

	/**
	 * Return the decision on a request whose body is complete. If the tokens were granted
	 * too long ago, they are returned and requested again.
	 * @return the decision; the future never fails
	 */
	Future<QuotaDecision> currentDecision() {
		if (this.decision.isComplete() && System.nanoTime() - this.decidedNanos > VALID_NANOS) {
			returnGranted(this.decision.result());
			acquire();
		}
		return this.decision;
	}

	/**
	 * Return the tokens, also those that are granted later. Further calls have no effect.
	 */
	void giveBack() {
		if (!this.returned) {
			this.returned = true;
			this.decision.onSuccess(this::returnGranted);
		}
	}

	private void returnGranted(QuotaDecision decided) {
		if (decided instanceof QuotaDecision.Granted granted) {
			this.quotas.giveBack(granted.grant());
		}
	}

}
