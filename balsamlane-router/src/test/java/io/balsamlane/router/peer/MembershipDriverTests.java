package io.balsamlane.router.peer;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.model.Endpoint;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;
import io.balsamlane.core.model.RouterHost;
import io.balsamlane.schema.PeerSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a router that stops probing after one unexpected error and is removed by
 * all others.
 */
class MembershipDriverTests {

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void errorOfAnActionDoesNotEndProbing() throws Exception {
		AtomicInteger actions = new AtomicInteger();
		AtomicBoolean failing = new AtomicBoolean();
		PeerSettings settings = PeerSettings.newBuilder()
			.setProbeMillis(40)
			.setProbeTimeoutMillis(20)
			.setSuspicionMillis(200)
			.build();
		MembershipDriver driver = new MembershipDriver(settings, this.group.next(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(1), (action) -> {
					actions.incrementAndGet();
					if (failing.get()) {
						throw new IllegalStateException("no route to host");
					}
				});
		this.group.next().submit(() -> {
			driver.start(new Member(HostName.of("self"), 1, Place.of("here"), Endpoint.of("127.0.0.1", 1)), 2);
			return null;
		}).get(5, TimeUnit.SECONDS);
		failing.set(true);
		RouterHost seed = new RouterHost(HostName.of("seed"), Place.of("here"), Endpoint.of("127.0.0.1", 2), false);
		assertThat(this.group.next().submit(() -> driver.setSeeds(List.of(seed))).await().cause())
			.hasMessage("no route to host");
		int before = actions.get();
		long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (actions.get() < before + 3) {
			assertThat(System.nanoTime()).as("actions after the first error").isLessThan(limitNanos);
			Thread.sleep(5);
		}
	}

}
