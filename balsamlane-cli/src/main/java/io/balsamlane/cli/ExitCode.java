package io.balsamlane.cli;

/**
 * Exit codes of the tool.
 */
enum ExitCode {

	DONE(0, "done"),

	REFUSED(1, "refused by the router"),

	USAGE(2, "bad usage or file"),

	UNREACHABLE(3, "no router answered"),

	CONFLICT(4, "someone else changed the object"),

	NOT_EVERYWHERE(5, "stored, but not yet in force everywhere"),

	UNKNOWN(6, "outcome unknown, send again with the same --change-id"),

	UNCONFIRMED(7, "not sent, needs --yes");

	private final int code;

	private final String meaning;

	ExitCode(int code, String meaning) {
		this.code = code;
		this.meaning = meaning;
	}

	int code() {
		return this.code;
	}

	String meaning() {
		return this.meaning;
	}

}
