package io.balsamlane.core.forwarding;

/**
 * Part that a backend server takes in a model request.
 */
public enum EngineStage {

	/** Reads prompts for others. */
	PREFILL,

	/** Generates tokens; can read a prompt itself, more slowly. */
	DECODE,

	/** Takes no part: a replica of a plain service. */
	NONE

}
