package io.balsamlane.core.model;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against places with a blank name, which no selector could refer to.
 */
class PlaceTests {

	@Test
	void blankNameIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> Place.of(" "));
	}

}
