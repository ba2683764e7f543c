package io.balsamlane.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Pattern;

import io.balsamlane.core.model.CustomerId;

/**
 * The customers of a configuration and the API keys that identify them. Immutable.
 * <p>
 * An error in the entry of one customer does not affect the others: the faulty name or
 * key identifies nobody, and {@link #problems()} describes the error without the key.
 */
public final class CustomerDirectory {

	/** Bounds the memory of a directory, together with {@link #MAX_KEYS}. */
	static final int MAX_CUSTOMERS = 4096;

	/** Maximum number of keys of one customer. */
	static final int MAX_KEYS = 16;

	/** Maximum number of errors that are described; further ones are counted. */
	static final int MAX_PROBLEMS = 16;

	private static final CustomerDirectory EMPTY = builder().build();

	/** Names are sent in a header, whose value has no blanks at its ends. */
	private static final Pattern SENDABLE_NAME = Pattern.compile("[\\x21-\\x7e]([\\x20-\\x7e]*[\\x21-\\x7e])?");

	private final Map<ApiKeyDigest, Customer> byKey;

	private final int size;

	private final List<String> problems;

	private CustomerDirectory(Map<ApiKeyDigest, Customer> byKey, int size, List<String> problems) {
		this.byKey = Map.copyOf(byKey);
		this.size = size;
		this.problems = List.copyOf(problems);
	}

	/**
	 * Return a directory without customers.
	 * @return the directory
	 */
	public static CustomerDirectory empty() {
		return EMPTY;
	}

	/**
	 * Create a builder without customers.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Find the customer that a key belongs to.
	 * @param bearerKey the key as received in a header, in which each character stands
	 * for one byte
	 * @return the customer, empty if the key identifies nobody
	 */
	public Optional<Customer> identify(String bearerKey) {
		if (bearerKey.isEmpty() || bearerKey.chars().anyMatch((character) -> character > 0xff)) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.byKey.get(ApiKeyDigest.ofReceived(bearerKey)));
	}

	/**
	 * Return whether requests need no key because no customer is configured.
	 * @return true if there are no customers; false if there are some, even without keys
	 */
	public boolean isEmpty() {
		return this.size == 0;
	}

	/**
	 * Return the number of customers.
	 * @return the number of customers, with or without keys
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Return the number of keys that identify a customer.
	 * @return the number of keys
	 */
	public int keyCount() {
		return this.byKey.size();
	}

	/**
	 * Return the errors in the configuration of the customers.
	 * @return descriptions that contain no key, at most {@value #MAX_PROBLEMS} and one
	 * that counts the others
	 */
	public List<String> problems() {
		return this.problems;
	}

	/**
	 * Collects the customers of a configuration.
	 */
	public static final class Builder {

		private final Map<CustomerId, Customer> customers = new LinkedHashMap<>();

		private final Map<ApiKeyDigest, Customer> byKey = new HashMap<>();

		private final Set<ApiKeyDigest> ambiguous = new HashSet<>();

		private final List<String> problems = new ArrayList<>();

		private int furtherProblems;

		/** Counts all entries, so that a list of faulty ones does not open the routes. */
		private int entries;

		private Builder() {
		}

		/**
		 * Add a customer.
		 * @param id name of the customer
		 * @param keys the API keys as configured
		 * @param priority priority that replaces the one of the route
		 * @param quota limit on the tokens of the customer's requests
		 * @return this builder
		 */
		public Builder add(CustomerId id, List<String> keys, OptionalInt priority, CustomerQuota quota) {
			this.entries++;
			if (!SENDABLE_NAME.matcher(id.value()).matches()) {
				problem("the name of customer number " + this.entries
						+ " cannot be sent in a header; the customer is ignored");
				return this;
			}
			if (this.customers.size() >= MAX_CUSTOMERS) {
				problem("customer " + id + " exceeds the limit of " + MAX_CUSTOMERS + " customers and is ignored");
				return this;
			}
			Customer customer = new Customer(id, priority, quota);
			if (this.customers.putIfAbsent(id, customer) != null) {
				problem("customer " + id + " is configured twice; the later entry is ignored");
				return this;
			}
			if (keys.size() > MAX_KEYS) {
				problem("customer " + id + " has more than " + MAX_KEYS + " keys; the later ones are ignored");
			}
			keys.stream().limit(MAX_KEYS).forEach((key) -> add(customer, key));
			return this;
		}

		private void add(Customer customer, String key) {
			if (!isSendable(key)) {
				problem("a key of customer " + customer.id()
						+ " is empty or contains blanks, control characters or unpaired surrogates; it is ignored");
				return;
			}
			ApiKeyDigest digest = ApiKeyDigest.ofConfigured(key);
			Customer other = this.byKey.putIfAbsent(digest, customer);
			if (other != null && !other.id().equals(customer.id())) {
				this.ambiguous.add(digest);
				problem("customers " + other.id() + " and " + customer.id()
						+ " have a key in common; it identifies neither of them");
			}
		}

		// A key is sent as one word. An unpaired surrogate has no encoding of its own and
		// would be replaced by a question mark.
		private static boolean isSendable(String key) {
			return !key.isEmpty() && key.codePoints()
				.noneMatch((point) -> point <= ' ' || point == 0x7f
						|| (point >= Character.MIN_SURROGATE && point <= Character.MAX_SURROGATE));
		}

		private void problem(String description) {
			if (this.problems.size() < MAX_PROBLEMS) {
				this.problems.add(description);
			}
			else {
				this.furtherProblems++;
			}
		}

		/**
		 * Create the directory.
		 * @return the directory
		 */
		public CustomerDirectory build() {
			Map<ApiKeyDigest, Customer> unambiguous = new HashMap<>(this.byKey);
			unambiguous.keySet().removeAll(this.ambiguous);
			List<String> described = new ArrayList<>(this.problems);
			if (this.furtherProblems > 0) {
				described.add(this.furtherProblems + " further errors");
			}
			return new CustomerDirectory(unambiguous, this.entries, described);
		}

	}

}
