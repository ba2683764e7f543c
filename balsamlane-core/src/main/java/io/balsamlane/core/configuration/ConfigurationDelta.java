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
 * Computes and applies deltas, so that a pull transfers only the changes that the
 * requesting node lacks instead of the whole document.
 */
public final class ConfigurationDelta {

	private ConfigurationDelta() {
	}

	/**
	 * Create the response to a pull. It contains the whole document if the requesting
	 * node asks for it or the history does not contain all changes that it lacks.
	 * @param current the configuration of the responding node
	 * @param digest digest of that configuration
	 * @param knownRevision revision that the requesting node has; 0 to request the whole
	 * document
	 * @return the response; the caller sets the store age
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
	 * Apply the response to a pull, so that the result equals the document of the
	 * responding node.
	 * @param base the configuration of the requesting node
	 * @param update the response to its pull
	 * @return the outcome
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
	 * Compute the hash of a configuration. The iteration order of its maps does not
	 * affect the result.
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
