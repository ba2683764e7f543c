package io.balsamlane.router.store;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.balsamlane.core.membership.Member;
import io.balsamlane.router.peer.PeerNetwork;
import io.balsamlane.router.peer.PeerReply;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.StoreItem;
import io.balsamlane.schema.StoreView;
import io.balsamlane.schema.StoreViewQuery;
import io.vertx.core.Future;

/**
 * Exchange of store views between routers, for use while some of them cannot reach the
 * store. Confined to one event loop.
 */
public final class PeerViews {

	private static final long CALL_TIMEOUT_MILLIS = 400;

	private final PeerNetwork peers;

	private final StoreEras eras;

	private final Map<String, Supplier<Optional<StoreSnapshot>>> localViews = new HashMap<>();

	private PeerViews(PeerNetwork peers, StoreEras eras) {
		this.peers = peers;
		this.eras = eras;
	}

	/**
	 * Create the exchange and start answering queries of other routers.
	 * @param peers the network of routers
	 * @param eras the eras of the store; a view of an earlier era than the one known to
	 * this router is not used
	 * @return the exchange
	 */
	public static PeerViews create(PeerNetwork peers, StoreEras eras) {
		PeerViews views = new PeerViews(peers, eras);
		peers.register(PeerMessage.BodyCase.STORE_VIEW_QUERY, (from, message) -> Future.succeededFuture(
				PeerMessage.newBuilder().setStoreView(views.answer(message.getStoreViewQuery().getPrefix()))));
		return views;
	}

	/**
	 * Provide a view to other routers.
	 * @param prefix the prefix of the keys
	 * @param view supplies the view, empty while it is not known
	 */
	public void provide(String prefix, Supplier<Optional<StoreSnapshot>> view) {
		this.localViews.put(prefix, view);
	}

	private StoreView answer(String prefix) {
		return Optional.ofNullable(this.localViews.get(prefix)).flatMap(Supplier::get).map((view) -> {
			StoreView.Builder answer = StoreView.newBuilder()
				.setKnown(true)
				.setAgeMillis((int) Math.min(Integer.MAX_VALUE, view.ageMillis()))
				.addAllItems(view.items()
					.stream()
					.map((item) -> StoreItem.newBuilder()
						.setKey(item.key())
						.setValue(ByteString.copyFrom(item.value()))
						.build())
					.toList());
			this.eras.current().ifPresent((era) -> answer.setStoreEra(era.number()));
			return answer.build();
		}).orElse(StoreView.getDefaultInstance());
	}

	/**
	 * Query one other router for its view, preferably one in the same place.
	 * @param prefix the prefix of the keys
	 * @return the view, empty if the router has none or does not answer; the future never
	 * fails
	 */
	public Future<Optional<StoreSnapshot>> query(String prefix) {
		Member self = this.peers.members().self();
		List<Member> others = new ArrayList<>(this.peers.members().members());
		others.removeIf((member) -> member.host().equals(self.host()));
		if (others.isEmpty()) {
			return Future.succeededFuture(Optional.empty());
		}
		Collections.shuffle(others);
		Member target = others.stream()
			.min(Comparator.comparingInt((Member member) -> member.place().equals(self.place()) ? 0 : 1))
			.orElseThrow();
		PeerMessage.Builder message = PeerMessage.newBuilder()
			.setStoreViewQuery(StoreViewQuery.newBuilder().setPrefix(prefix));
		return this.peers.call(target.host(), message, CALL_TIMEOUT_MILLIS).map(this::snapshot);
	}

	private Optional<StoreSnapshot> snapshot(PeerReply reply) {
		if (!(reply instanceof PeerReply.Answered answered) || !answered.message().getStoreView().getKnown()) {
			return Optional.empty();
		}
		StoreView view = answered.message().getStoreView();
		boolean outdated = view.hasStoreEra()
				&& this.eras.current().filter((era) -> era.compareTo(new StoreEra(view.getStoreEra())) > 0).isPresent();
		if (outdated) {
			return Optional.empty();
		}
		return Optional.of(new StoreSnapshot(view.getItemsList()
			.stream()
			.map((item) -> new PrefixRead.Item(item.getKey(), item.getValue().toByteArray()))
			.toList(), view.getAgeMillis()));
	}

}
