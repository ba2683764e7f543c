package io.balsamlane.router.settings;

import java.io.IOException;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SettingsReference}. Guards against a settings page that does not match
 * the schema.
 */
class SettingsReferenceTests {

	@Test
	void pageMatchesSchema() throws IOException {
		assertThat(Path.of("../docs/settings.md"))
			.as("docs/settings.md is out of date; run SettingsReference with this file")
			.content()
			.isEqualTo(SettingsReference.markdown());
	}

}
