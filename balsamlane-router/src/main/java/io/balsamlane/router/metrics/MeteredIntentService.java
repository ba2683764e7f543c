package io.balsamlane.router.metrics;

import java.util.Locale;

import io.balsamlane.router.records.IntentService;
import io.balsamlane.schema.CallRecord;
import io.balsamlane.schema.IntentReply;
import io.vertx.core.Future;

/**
 * {@link IntentService} decorator that reports each result to the metrics.
 */
public final class MeteredIntentService implements IntentService {

	private final IntentService intents;

	private final RouterMetrics metrics;

	private MeteredIntentService(IntentService intents, RouterMetrics metrics) {
		this.intents = intents;
		this.metrics = metrics;
	}

	/**
	 * Wrap the given intent service.
	 * @param intents the intent service to delegate to
	 * @param metrics the metrics that count the results
	 * @return the intent service that reports to the metrics
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
