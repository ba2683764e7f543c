package io.balsamlane.bench;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a script that takes a mistyped measurement for a finished one.
 */
class MeasureMainTests {

	@ParameterizedTest
	@CsvSource({ "0,--help", "0,--version", "2,path", "2,path --seed 1", "2,nothing --seed 1 --out target/m",
			"2,path --seed x --out target/m", "2,path --seed 1 --out target/m --unknown" })
	void exitCodeTellsUsageErrors(int expected, String arguments) {
		assertThat(MeasureMain.run(arguments.split(" "))).isEqualTo(expected);
	}

}
