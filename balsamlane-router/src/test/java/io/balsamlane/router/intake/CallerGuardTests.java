package io.balsamlane.router.intake;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallerGuard}: guards against connections of callers that leave neither
 * descriptors for servers nor memory for requests.
 */
class CallerGuardTests {

	@ParameterizedTest
	@CsvSource({ "96, 4100, 1536", "96, 2000, 900", "32, 4100, 512", "512, 4100, 1950", "96, 100, 1" })
	void limitsConnectionsByMemoryAndDescriptors(long heapMebibytes, long descriptors, int connections) {
		assertThat(CallerGuard.maxConnections(heapMebibytes << 20, descriptors)).isEqualTo(connections);
	}

	@Test
	void allowsConnectionsInThisProcess() {
		assertThat(CallerGuard.maxConnections()).isPositive();
	}

}
