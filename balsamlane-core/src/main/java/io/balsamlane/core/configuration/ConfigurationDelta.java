package io.balsamlane.core.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.google.protobuf.CodedOutputStream;
import io.balsamlane.schema.Change;
import io.balsamlane.schema.Configuration;
import io.balsamlane.schema.ConfigurationUpdate;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Reduces a document to the changes that a puller lacks, and rebuilds it from them.
 */
public final class ConfigurationDelta {

	private ConfigurationDelta() {
	}

	/**
	 * Creates the answer to a pull.
	 * @param current the configuration of the asked node
	 * @param digest digest of that configuration
	 * @param knownRevision revision that the puller has; 0 if it needs the document
	 * @return the answer, without the age of the store
	 */
	public static ConfigurationUpdate.Builder since(Configuration current, long digest, long knownRevision) {
		ConfigurationUpdate.Builder update = ConfigurationUpdate.newBuilder()
			.setRevision(current.getRevision())
			.setDigest(digest);
		if (knownRevision >= current.getRevision()) {
			return update;
		}
		List<Change> missing = current.getChangesList()
			.stream()
			.filter((change) -> change.getRevision() > knownRevision)
			.toList();
		if (knownRevision == 0 || missing.size() != current.getRevision() - knownRevision) {
			return update.setDocument(current);
		}
		return update.addAllChanges(missing).setOldestChange(current.getChanges(0).getRevision());
	}

	/**
	 * Rebuilds the document of the asked node.
	 * @param base the configuration of the puller
	 * @param update the answer to its pull
	 * @return the result
	 */
	public static PullResult apply(Configuration base, ConfigurationUpdate update) {
		if (update.hasDocument()) {
			return new PullResult.Received(update.getDocument());
		}
		if (update.getRevision() <= base.getRevision()) {
			return new PullResult.Current();
		}
		List<Change> missing = update.getChangesList()
			.stream()
			.filter((change) -> change.getRevision() > base.getRevision())
			.toList();
		if (missing.size() != update.getRevision() - base.getRevision()) {
			return new PullResult.DigestMismatch();
		}
		Configuration next = ConfigurationEditor.replay(base, missing, update.getOldestChange());
		return (digest(next) == update.getDigest()) ? new PullResult.Received(next) : new PullResult.DigestMismatch();
	}

	/**
	 * Hashes a configuration independently of the order of its maps.
	 * @param configuration the configuration
	 * @return the hash
	 */
	public static long digest(Configuration configuration) {
		try {
			byte[] bytes = new byte[configuration.getSerializedSize()];
			CodedOutputStream output = CodedOutputStream.newInstance(bytes);
			output.useDeterministicSerialization();
			configuration.writeTo(output);
			return MurmurHash3.hash128x64(bytes)[0];
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
