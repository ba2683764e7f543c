package io.balsamlane.core.configuration;

import java.util.ArrayList;
import java.util.List;

import io.balsamlane.core.membership.Member;
import io.balsamlane.core.membership.MemberView;
import io.balsamlane.core.model.HostName;
import io.balsamlane.core.model.Place;

/**
 * Choice of the members that watch the store, the same on all nodes with the same view.
 */
final class Watchers {

	private static final int PER_PLACE = 2;

	private static final String KEY = "configuration-watch/";

	private Watchers() {
	}

	/**
	 * Chooses the watchers of a place.
	 * @param view the members
	 * @param place the place
	 * @return their hosts, at most two
	 */
	static List<HostName> of(MemberView view, Place place) {
		List<Member> candidates = new ArrayList<>(
				view.members().stream().filter((member) -> member.place().equals(place)).toList());
		List<HostName> chosen = new ArrayList<>();
		while (!candidates.isEmpty() && chosen.size() < PER_PLACE) {
			Member owner = new MemberView(view.self(), candidates).owner(KEY + place).orElseThrow();
			candidates.remove(owner);
			chosen.add(owner.host());
		}
		return chosen;
	}

	/**
	 * Returns the watchers of all places but the own one.
	 * @param view the members
	 * @return their hosts
	 */
	static List<HostName> ofOtherPlaces(MemberView view) {
		return view.members()
			.stream()
			.map(Member::place)
			.distinct()
			.filter((place) -> !place.equals(view.self().place()))
			.flatMap((place) -> of(view, place).stream())
			.toList();
	}

}
