package io.balsamlane.core.configuration;

import java.util.List;

import io.balsamlane.core.model.HostName;
import io.balsamlane.schema.Configuration;

/**
 * What a {@link ConfigurationTracker} asks its owner to do.
 */
public sealed interface TrackerAction {

	/**
	 * Read the document from the store; the answer goes to
	 * {@link ConfigurationTracker#storeRead}.
	 */
	record ReadStore() implements TrackerAction {
	}

	/**
	 * Watch the document in the store; the answer goes to
	 * {@link ConfigurationTracker#watchEnded}.
	 *
	 * @param afterVersion version that is known already
	 */
	record WatchStore(long afterVersion) implements TrackerAction {
	}

	/**
	 * Pull the document from a peer; the result goes to
	 * {@link ConfigurationTracker#pullEnded}.
	 *
	 * @param peer the peer
	 * @param knownRevision revision that is known already; 0 asks for the whole document
	 */
	record Pull(HostName peer, long knownRevision) implements TrackerAction {
	}

	/**
	 * Bring a configuration into force.
	 *
	 * @param configuration the configuration
	 */
	record Apply(Configuration configuration) implements TrackerAction {
	}

	/**
	 * Tell peers of a revision; no answer is needed.
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
	 * @param message the cause and its remedy
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

		/** A document has a higher revision but lacks a change that is in force here. */
		HISTORY_DIVERGED,

		/** The value in the store is no document. */
		DOCUMENT_DAMAGED,

		/** Neither this node nor any peer that it hears of reaches the store. */
		STORE_UNREACHABLE,

		/** This node reaches neither the store nor any peer. */
		ISOLATED

	}

}
