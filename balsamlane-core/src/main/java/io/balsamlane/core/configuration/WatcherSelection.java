package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;

/**
 * Selects the members that watch the store. The selection is deterministic: all nodes
 * with the same member view select the same watchers.
 */
final class WatcherSelection {

	private static final int WATCHERS_PER_PLACE = 2;

	private static final String OWNER_KEY_PREFIX = "configuration-watch/";

	private WatcherSelection() {
	}

	/**
	 * Select the watchers of a place.
	 * @param view the member view
	 * @param place the place
	 * @return the hosts of the watchers, at most two
	 */
	static List<HostName> select(MemberView view, Place place) {
		List<Member> candidates = new ArrayList<>(
				view.members().stream().filter((member) -> member.place().equals(place)).toList());
		List<HostName> chosen = new ArrayList<>();
		while (!candidates.isEmpty() && chosen.size() < WATCHERS_PER_PLACE) {
			Member owner = new MemberView(view.self(), candidates).owner(OWNER_KEY_PREFIX + place).orElseThrow();
			candidates.remove(owner);
			chosen.add(owner.host());
		}
		return chosen;
	}

	/**
	 * Select the watchers of all places except that of this node.
	 * @param view the member view
	 * @return the hosts of the watchers
	 */
	static List<HostName> selectInOtherPlaces(MemberView view) {
		return view.members()
			.stream()
			.map(Member::place)
			.distinct()
			.filter((place) -> !place.equals(view.self().place()))
			.flatMap((place) -> select(view, place).stream())
			.toList();
	}

}
