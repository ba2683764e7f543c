package io.balsamlane.core.forwarding;

/**
 * Stage of a model request that a backend server runs.
 */
public enum EngineStage {

	/** Runs prefill on behalf of decode engines. */
	PREFILL,

	/** Generates tokens; can also run prefill, but more slowly. */
	DECODE,

	/** Runs no stage: a replica of a plain service. */
	NONE

}
