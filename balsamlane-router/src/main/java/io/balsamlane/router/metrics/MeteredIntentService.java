package io.balsamlane.router.metrics;

import java.util.Locale;

import io.balsamlane.router.records.IntentService;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.vertx.core.Future;

/**
 * Reports each request to record a call to the metrics.
 */
public final class MeteredIntentService implements IntentService {

	private final IntentService intents;

	private final RouterMetrics metrics;

	private MeteredIntentService(IntentService intents, RouterMetrics metrics) {
		this.intents = intents;
		this.metrics = metrics;
	}

	/**
	 * Wraps an intent service.
	 * @param intents the intent service
	 * @param metrics receives the results
	 * @return the wrapped intent service
	 */
	public static IntentService of(IntentService intents, RouterMetrics metrics) {
		return new MeteredIntentService(intents, metrics);
	}

	@Override
	public Future<IntentReply> create(CallRecord intent) {
		return this.intents.create(intent)
			.onSuccess((reply) -> this.metrics.recordDecided(reply.getResult().name().toLowerCase(Locale.ROOT)));
	}

	@Override
	public Future<Boolean> report(CallRecord outcome) {
		return this.intents.report(outcome)
			.onSuccess((stored) -> this.metrics.recordDecided(stored ? "reported" : "report_failed"));
	}

}
