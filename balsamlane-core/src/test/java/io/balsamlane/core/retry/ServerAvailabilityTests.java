package io.balsamlane.core.retry;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerAvailability}. Guards against new work for servers that are
 * leaving or failing.
 */
class ServerAvailabilityTests {

	private static final String SERVER = "decode-1";

	private ServerAvailability availability;

	@BeforeEach
	void setUp() {
		this.availability = ServerAvailability.create(3, 100, 1000, 4);
	}

	@Test
	void laggingHostListDoesNotOverrideLeavingAnnouncement() {
		this.availability.announcedLeaving(SERVER, 0);
		this.availability.listed(SERVER, false);
		this.availability.succeeded(SERVER);
		assertThat(this.availability.available(SERVER, 1)).isFalse();
	}

	@Test
	void serverListedAsLiveAfterLeavingIsAvailableAgain() {
		this.availability.announcedLeaving(SERVER, 0);
		this.availability.listed(SERVER, true);
		assertThat(this.availability.available(SERVER, 1)).isFalse();
		this.availability.listed(SERVER, false);
		assertThat(this.availability.available(SERVER, 2)).isTrue();
	}

	@Test
	void consecutiveFailuresPauseServerAndNextFailurePausesItAgain() {
		this.availability.failed(SERVER, 0);
		this.availability.succeeded(SERVER);
		this.availability.failed(SERVER, 1);
		this.availability.failed(SERVER, 2);
		assertThat(this.availability.available(SERVER, 3)).isTrue();
		this.availability.failed(SERVER, 4);
		assertThat(this.availability.available(SERVER, 5)).isFalse();
		assertThat(this.availability.available(SERVER, 104)).isTrue();
		this.availability.failed(SERVER, 110);
		assertThat(this.availability.available(SERVER, 111)).isFalse();
	}

	@Test
	void terminatedServerIsPausedImmediately() {
		this.availability.died(SERVER, 0);
		assertThat(this.availability.available(SERVER, 1)).isFalse();
		assertThat(this.availability.availableAsLastResort(SERVER, 1)).isFalse();
		assertThat(this.availability.availableAsLastResort(SERVER, 100)).isTrue();
	}

	@Test
	void unresponsiveServerIsAvailableAsLastResort() {
		this.availability.unresponsive(SERVER, 0);
		assertThat(this.availability.available(SERVER, 1)).isFalse();
		assertThat(this.availability.availableAsLastResort(SERVER, 1)).isTrue();
		this.availability.died(SERVER, 2);
		this.availability.unresponsive(SERVER, 3);
		assertThat(this.availability.availableAsLastResort(SERVER, 4)).isTrue();
	}

	@Test
	void leavingServerIsNotAvailableAsLastResort() {
		this.availability.announcedLeaving(SERVER, 0);
		assertThat(this.availability.availableAsLastResort(SERVER, 1)).isFalse();
		this.availability.listed("decode-2", true);
		assertThat(this.availability.availableAsLastResort("decode-2", 1)).isFalse();
	}

}
