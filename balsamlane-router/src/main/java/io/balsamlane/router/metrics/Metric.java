package io.balsamlane.router.metrics;

import java.util.Locale;

/**
 * Defines the metrics of the daemon, with the names and help texts exposed to collectors.
 */
enum Metric {

	REQUESTS_TOTAL("counter", "Requests of callers that ended, by outcome"),

	FIRST_TOKEN_SECONDS("summary", "Time from a model request to its first token"),

	BETWEEN_TOKENS_SECONDS("summary", "Mean time between the tokens of an answer, one value for each answer"),

	GRANTS_TOTAL("counter", "Decisions on model requests: granted, or the kind of the refusal"),

	RETRIES_TOTAL("counter", "Further attempts and hedges, by kind"),

	RECORDS_TOTAL("counter", "Requests to record a non-repeatable call, by result"),

	STORE_CALLS_TOTAL("counter", "Calls of the platform store, by operation and outcome"),

	STORE_CALL_SECONDS("summary", "Time of reads and writes of the platform store"),

	STORE_AGE_SECONDS("gauge", "Time since the platform store last answered this router"),

	RING_EVENTS("gauge", "Entries in a ring buffer"),

	RING_EVENTS_MAX("gauge", "Most entries in a ring buffer since the start"),

	RING_CAPACITY_EVENTS("gauge", "Capacity of a ring buffer"),

	MEMBERS("gauge", "Routers that this router believes to be alive, itself included"),

	ORDER_LEASES_HELD("gauge", "Pools whose orders this router issues"),

	CONFIGURATION_REVISION("gauge", "Revision of the configuration in force on this router"),

	REQUESTS_IN_PROGRESS("gauge", "Requests of callers in progress"),

	SCHEDULER_LIVE_GRANTS("gauge", "Grants that the schedulers of this router keep account of"),

	SCHEDULER_WAITING_REQUESTS("gauge", "Requests that wait in the queues of the schedulers of this router"),

	SCHEDULER_FALLBACKS_TOTAL("counter", "Grants that this router decided itself because no scheduler answered"),

	CROSS_REGION_BYTES_TOTAL("counter", "Bytes that grants of this router send between regions"),

	READY("gauge", "1 if this router accepts requests, 0 if not");

	private final String type;

	private final String help;

	Metric(String type, String help) {
		this.type = type;
		this.help = help;
	}

	String id() {
		return "balsamlane_" + name().toLowerCase(Locale.ROOT);
	}

	String type() {
		return this.type;
	}

	String help() {
		return this.help;
	}

}
