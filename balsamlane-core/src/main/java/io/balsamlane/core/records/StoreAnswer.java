package io.balsamlane.core.records;

import java.util.Objects;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;

/**
 * Answer of the platform store to an action of a shard writer.
 */
public sealed interface StoreAnswer {

	/**
	 * The key that was read has a value.
	 *
	 * @param value the value
	 * @param version its version
	 */
	record Found(ByteString value, long version) implements StoreAnswer {

		public Found {
			Objects.requireNonNull(value, "value");
		}

		<T> T parse(Parser<T> parser) {
			try {
				return parser.parseFrom(this.value);
			}
			catch (InvalidProtocolBufferException ex) {
				throw new IllegalStateException(
						"Value under balsamlane/records/ in the platform store cannot be parsed", ex);
			}
		}

	}

	/**
	 * The key that was read has no value.
	 */
	record Absent() implements StoreAnswer {
	}

	/**
	 * The write took effect.
	 *
	 * @param version the new version
	 */
	record Written(long version) implements StoreAnswer {
	}

	/**
	 * The write did not take effect, because the key has another version.
	 */
	record Mismatch() implements StoreAnswer {
	}

	/**
	 * The write did not take effect for another reason.
	 *
	 * @param message the reason
	 */
	record Rejected(String message) implements StoreAnswer {
	}

	/**
	 * No answer was received; a write may have taken effect or may still do so.
	 *
	 * @param message the reason
	 */
	record Unavailable(String message) implements StoreAnswer {
	}

}
