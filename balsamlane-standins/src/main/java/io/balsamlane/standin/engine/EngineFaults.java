package io.balsamlane.standin.engine;

import io.vertx.core.json.JsonObject;

/**
 * Faults that tests inject into an engine stand-in.
 */
class EngineFaults {

	private boolean leaving;

	private boolean frozen;

	private boolean stallTransfers;

	private boolean muteStreams;

	private double slowFactor = 1;

	private String crashMarker = "";

	void update(JsonObject faults) {
		this.leaving = faults.getBoolean("leaving", this.leaving);
		this.frozen = faults.getBoolean("frozen", this.frozen);
		this.stallTransfers = faults.getBoolean("stallTransfers", this.stallTransfers);
		this.muteStreams = faults.getBoolean("muteStreams", this.muteStreams);
		this.slowFactor = faults.getDouble("slowFactor", this.slowFactor);
		this.crashMarker = faults.getString("crashMarker", this.crashMarker);
	}

	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Return whether the engine sends no responses and makes no progress.
	 * @return true while frozen
	 */
	boolean frozen() {
		return this.frozen;
	}

	boolean stallsTransfers() {
		return this.stallTransfers;
	}

	/**
	 * Return whether sequences make progress without sending anything on their
	 * connections.
	 * @return true while streams are muted
	 */
	boolean mutesStreams() {
		return this.muteStreams;
	}

	double slowFactor() {
		return this.slowFactor;
	}

	boolean crashesOn(String text) {
		return !this.crashMarker.isEmpty() && text.contains(this.crashMarker);
	}

}
