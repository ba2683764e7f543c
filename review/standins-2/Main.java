package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case. Arguments: name of the case, file of the record. */
final class Main {

	private Main() {
	}

	public static void main(String[] args) throws Exception {
		Recorder record = Recorder.create(Path.of(args[1]));
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("balsamlane-review");
		int result = 2;
		try {
			result = switch (args[0]) {
				case "store-drill" -> StoreDrill.run(record, folder, StoreDrill.LARGE_FLEET, trouble);
				case "store-drill-silent" -> StoreDrill.run(record, folder, StoreDrill.SMALL_FLEET, trouble);
				case "quota-restart" -> QuotaRestart.run(record, folder, trouble);
				default -> 2;
			};
		}
		catch (Exception ex) {
			record.line("the case could not run: " + ex);
			ex.printStackTrace();
		}
		if (System.getenv("KEEP_LOGS") == null) {
			try (Stream<Path> files = Files.walk(folder)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
		}
		else {
			System.out.println("logs: " + folder);
		}
		record.line("result " + result + (trouble ? "" : " without the disruption"));
		System.exit(result);
	}

}
