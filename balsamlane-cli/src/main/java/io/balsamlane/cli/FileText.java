package io.balsamlane.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * Reads and writes the files that the command line names.
 */
final class FileText {

	private FileText() {
	}

	static String read(CommandContext context) {
		String file = context.option("file");
		if (file.isEmpty()) {
			throw CommandException.usage("No file is named; use --file FILE");
		}
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException | InvalidPathException ex) {
			throw CommandException.usage("The file " + file + " cannot be read; name a readable file in UTF-8");
		}
	}

	static void write(String file, String text) {
		try {
			Files.writeString(Path.of(file), text);
		}
		catch (IOException | InvalidPathException ex) {
			throw CommandException.usage("The file " + file + " cannot be written; name another one");
		}
	}

}
