package io.balsamlane.core.configuration;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import io.balsamlane.core.configuration.TrackerAction.AlarmKind;

/**
 * Tracks the active alarms of a node and creates an action only when an alarm changes.
 */
final class ActiveAlarms {

	private final Map<AlarmKind, String> messages = new EnumMap<>(AlarmKind.class);

	void update(AlarmKind kind, boolean raised, String message, List<TrackerAction> actions) {
		if (raised) {
			raise(kind, message, actions);
		}
		else {
			clear(kind, actions);
		}
	}

	void raise(AlarmKind kind, String message, List<TrackerAction> actions) {
		if (!message.equals(this.messages.put(kind, message))) {
			actions.add(new TrackerAction.RaiseAlarm(kind, message));
		}
	}

	void clear(AlarmKind kind, List<TrackerAction> actions) {
		if (this.messages.remove(kind) != null) {
			actions.add(new TrackerAction.ClearAlarm(kind));
		}
	}

	Map<AlarmKind, String> messages() {
		return this.messages;
	}

}
