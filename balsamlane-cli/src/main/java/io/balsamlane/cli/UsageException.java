package io.balsamlane.cli;

/**
 * The command line or a file named in it is not valid; the message names the remedy.
 */
class UsageException extends RuntimeException {

	UsageException(String message) {
		super(message);
	}

}
