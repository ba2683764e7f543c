package io.balsamlane.core.configuration;

import java.util.Objects;

import io.balsamlane.schema.Configuration;

/**
 * Response of the platform store to a read or watch of the configuration.
 */
public sealed interface StoreAnswer {

	/**
	 * The store holds a document.
	 *
	 * @param configuration the document
	 * @param version version of the stored value
	 */
	record Document(Configuration configuration, long version) implements StoreAnswer {

		public Document {
			Objects.requireNonNull(configuration, "configuration");
		}

	}

	/**
	 * The store holds no document.
	 */
	record Absent() implements StoreAnswer {
	}

	/**
	 * A watch ended without a change.
	 */
	record Unchanged() implements StoreAnswer {
	}

	/**
	 * The store holds a value that cannot be parsed as a document.
	 *
	 * @param version version of the stored value
	 * @param message the cause
	 */
	record Damaged(long version, String message) implements StoreAnswer {
	}

	/**
	 * The call failed or its response was unusable.
	 *
	 * @param message the cause
	 */
	record Failed(String message) implements StoreAnswer {
	}

}
