package io.balsamlane.core.configuration;

import java.util.Objects;

import io.balsamlane.schema.Configuration;

/**
 * What the platform store answered to a read or a watch of the configuration.
 */
public sealed interface StoreAnswer {

	/**
	 * The store holds a document.
	 *
	 * @param configuration the document
	 * @param version version of the value in the store
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
	 * The store holds a value that is no document.
	 *
	 * @param version version of the value in the store
	 * @param message the cause
	 */
	record Damaged(long version, String message) implements StoreAnswer {
	}

	/**
	 * The store gave no usable answer.
	 *
	 * @param message the cause
	 */
	record Failed(String message) implements StoreAnswer {
	}

}
