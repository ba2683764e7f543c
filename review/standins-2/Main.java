package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Runs one case. Arguments: name of the case, file of the record, 0 to leave the
 * disruption out.
 */
final class Main {

	private Main() {
	}

	public static void main(String[] args) throws Exception {
		Recorder record = Recorder.create(Path.of(args[1]));
		boolean trouble = !args[2].equals("0");
		Path folder = Files.createTempDirectory("balsamlane-review");
		int result = 2;
		try {
			result = switch (args[0]) {
				case "store-drill" -> StoreDrill.run(record, folder, StoreDrill.LARGE_FLEET, trouble);
				case "store-drill-silent" -> StoreDrill.run(record, folder, StoreDrill.SMALL_FLEET, trouble);
				default -> 2;
			};
		}
		catch (Exception ex) {
			record.line("the case could not run: " + ex);
			ex.printStackTrace();
		}
		try (Stream<Path> files = Files.walk(folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		record.line("result " + result + (trouble ? "" : " without the disruption"));
		System.exit(result);
	}

}
