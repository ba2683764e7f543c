package io.balsamlane.core.configuration;

import java.util.List;

import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.Configuration;

/**
 * Action that a {@link ConfigurationTracker} requests from its owner.
 */
public sealed interface TrackerAction {

	/**
	 * Read the document from the store and pass the response to
	 * {@link ConfigurationTracker#storeRead}.
	 */
	record ReadStore() implements TrackerAction {
	}

	/**
	 * Watch the document in the store and pass the response to
	 * {@link ConfigurationTracker#watchEnded}.
	 *
	 * @param afterVersion known version; the watch reports later ones
	 */
	record WatchStore(long afterVersion) implements TrackerAction {
	}

	/**
	 * Pull the document from a peer and pass the result to
	 * {@link ConfigurationTracker#pullEnded}.
	 *
	 * @param peer the peer
	 * @param knownRevision known revision; 0 requests the whole document
	 */
	record Pull(HostName peer, long knownRevision) implements TrackerAction {
	}

	/**
	 * Apply a configuration.
	 *
	 * @param configuration the configuration
	 */
	record Apply(Configuration configuration) implements TrackerAction {
	}

	/**
	 * Announce a revision to peers; no response is needed.
	 *
	 * @param peers the peers
	 * @param revision the revision
	 */
	record Announce(List<HostName> peers, long revision) implements TrackerAction {

		public Announce {
			peers = List.copyOf(peers);
		}

	}

	/**
	 * Raise an alarm or replace its message.
	 *
	 * @param kind kind of the alarm
	 * @param message the cause and how to resolve it
	 */
	record RaiseAlarm(AlarmKind kind, String message) implements TrackerAction {
	}

	/**
	 * Clear an alarm.
	 *
	 * @param kind kind of the alarm
	 */
	record ClearAlarm(AlarmKind kind) implements TrackerAction {
	}

	/**
	 * Kinds of alarms.
	 */
	enum AlarmKind {

		/** The store holds a lower revision than this node, or no document. */
		STORE_REGRESSED,

		/**
		 * A document has a higher revision but lacks a change that this node has applied.
		 */
		HISTORY_DIVERGED,

		/** The stored value cannot be parsed as a document. */
		DOCUMENT_DAMAGED,

		/** Neither this node nor any peer known to it reaches the store. */
		STORE_UNREACHABLE,

		/** This node reaches neither the store nor any peer. */
		ISOLATED

	}

}
