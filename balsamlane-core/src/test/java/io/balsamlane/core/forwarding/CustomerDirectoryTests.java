package io.balsamlane.core.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

import io.balsamlane.core.model.CustomerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are attributed to the wrong customer or to none, and
 * against an error in one customer's entry that affects the others.
 */
class CustomerDirectoryTests {

	private static final ForwardingRoute ROUTE = route(false);

	private static final ForwardingRoute PUBLIC_ROUTE = route(true);

	private final CustomerDirectory.Builder builder = CustomerDirectory.builder();

	private static ForwardingRoute route(boolean publicAccess) {
		return new ForwardingRoute("route", "example.org", "/", RequestKind.STREAM, 1000, 500, 1,
				List.of(new ForwardingRoute.WeightedService("service", 1)), 1, 0, publicAccess);
	}

	private CustomerDirectoryTests add(String name, String... keys) {
		this.builder.add(CustomerId.of(name), List.of(keys), OptionalInt.empty(), CustomerQuota.UNLIMITED);
		return this;
	}

	private Optional<String> identify(String key) {
		return this.builder.build().identify(key).map((customer) -> customer.id().value());
	}

	private static CallerIdentity identify(CustomerDirectory customers, ForwardingRoute route, String key) {
		return ForwardingConfiguration.of(1, List.of(route), List.of(), new CallerLimits(1, 1, 1, 1), customers)
			.identify(route, Optional.ofNullable(key));
	}

	@Test
	void eachKeyIdentifiesItsCustomer() {
		add("a", "key-1", "key-2").add("b", "key-3");
		assertThat(identify("key-1")).contains("a");
		assertThat(identify("key-2")).contains("a");
		assertThat(identify("key-3")).contains("b");
		assertThat(this.builder.build().size()).isEqualTo(2);
		assertThat(this.builder.build().keyCount()).isEqualTo(3);
		assertThat(this.builder.build().problems()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "key-1 ", "KEY-1", "key-", "key-11", "key-1\u0131", "\u0131" })
	void otherKeysIdentifyNobody(String key) {
		assertThat(add("a", "key-1").identify(key)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "schl\u00fcssel", "\u20ac", "\ud83d\udd11", "=+/,;\"\\{}", "?" })
	void keyWithUnusualCharactersIsComparedByItsBytes(String key) {
		add("a", key);
		String received = new String(key.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
		assertThat(identify(received)).contains("a");
		assertThat(this.builder.build().problems()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", "a b", " key", "key\n", "key\u0000", "\u007f", "\ud800" })
	void keyThatCannotBeSentIsAnErrorOfItsCustomerOnly(String key) {
		add("a", key, "key-1").add("b", "key-2");
		assertThat(identify(key)).isEmpty();
		assertThat(identify("?")).as("replacement of a character without encoding").isEmpty();
		assertThat(identify("key-1")).contains("a");
		assertThat(identify("key-2")).contains("b");
		assertThat(this.builder.build().problems()).singleElement().asString().contains("customer a");
	}

	@Test
	void keyOfTwoCustomersIdentifiesNobodyAndIsNotDescribed() {
		add("a", "secret-1", "key-1").add("b", "key-2", "secret-1").add("c", "secret-1");
		assertThat(identify("secret-1")).isEmpty();
		assertThat(identify("key-1")).contains("a");
		assertThat(identify("key-2")).contains("b");
		assertThat(this.builder.build().keyCount()).isEqualTo(2);
		assertThat(this.builder.build().problems()).hasSize(2)
			.allMatch((problem) -> problem.contains("key in common") && !problem.contains("secret"));
	}

	@Test
	void keyThatOneCustomerListsTwiceIdentifiesIt() {
		add("a", "key-1", "key-1");
		assertThat(identify("key-1")).contains("a");
		assertThat(this.builder.build().problems()).isEmpty();
	}

	@Test
	void customersWithoutKeysDoNotOpenRoutes() {
		CustomerDirectory customers = add("a").builder.build();
		assertThat(customers.isEmpty()).isFalse();
		assertThat(identify(customers, ROUTE, null).allowed()).isFalse();
		CustomerDirectory unusable = new CustomerDirectoryTests().add("n\u00e4me", "key-1").builder.build();
		assertThat(unusable.isEmpty()).isFalse();
		assertThat(identify(unusable, ROUTE, "key-1").allowed()).isFalse();
	}

	@Test
	void laterEntryOfSameNameIsIgnored() {
		add("a", "key-1").add("a", "key-2");
		assertThat(identify("key-1")).contains("a");
		assertThat(identify("key-2")).isEmpty();
		assertThat(this.builder.build().problems()).singleElement().asString().contains("twice");
	}

	@Test
	void numbersOfCustomersKeysAndProblemsAreBounded() {
		add("many", IntStream.rangeClosed(1, 17).mapToObj((number) -> "m-" + number).toArray(String[]::new));
		IntStream.rangeClosed(1, 4120).forEach((number) -> add("c-" + number, "k-" + number));
		assertThat(identify("m-16")).contains("many");
		assertThat(identify("m-17")).isEmpty();
		assertThat(identify("k-4095")).contains("c-4095");
		assertThat(identify("k-4096")).isEmpty();
		// One problem of the keys and 25 of the customers.
		assertThat(this.builder.build().problems()).hasSize(17).last().isEqualTo("10 further errors");
	}

	@Test
	void identityDependsOnCustomersRouteAndKey() {
		CustomerDirectory customers = add("a", "key-1").builder.build();
		CustomerDirectory none = CustomerDirectory.empty();
		assertThat(identify(none, ROUTE, "key-1")).isEqualTo(new CallerIdentity.Unrestricted());
		assertThat(identify(none, PUBLIC_ROUTE, null)).isEqualTo(new CallerIdentity.Unrestricted());
		assertThat(identify(customers, PUBLIC_ROUTE, null)).isEqualTo(new CallerIdentity.Anonymous());
		assertThat(identify(customers, PUBLIC_ROUTE, "key-1")).isEqualTo(new CallerIdentity.Anonymous());
		assertThat(identify(customers, ROUTE, null)).isEqualTo(new CallerIdentity.Unknown(false));
		assertThat(identify(customers, ROUTE, "key-2")).isEqualTo(new CallerIdentity.Unknown(true));
		assertThat(identify(customers, ROUTE, "key-1").customer()).map(Customer::id).contains(CustomerId.of("a"));
		assertThat(identify(customers, PUBLIC_ROUTE, "key-1").forwardsCredentials()).isFalse();
		assertThat(identify(customers, ROUTE, "key-1").forwardsCredentials()).isFalse();
		assertThat(identify(none, ROUTE, "key-1").forwardsCredentials()).isTrue();
	}

	@Test
	void priorityOfCustomerReplacesThatOfRoute() {
		Customer urgent = new Customer(CustomerId.of("a"), OptionalInt.of(0), CustomerQuota.UNLIMITED);
		Customer usual = new Customer(CustomerId.of("b"), OptionalInt.empty(), CustomerQuota.UNLIMITED);
		assertThat(urgent.priority(ROUTE)).isZero();
		assertThat(usual.priority(ROUTE)).isEqualTo(1);
	}

}
