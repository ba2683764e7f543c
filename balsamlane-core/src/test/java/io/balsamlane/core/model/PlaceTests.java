package io.balsamlane.core.model;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against unnamed places, which no selector could name.
 */
class PlaceTests {

	@Test
	void blankNameIsRefused() {
		assertThatIllegalArgumentException().isThrownBy(() -> Place.of(" "));
	}

}
