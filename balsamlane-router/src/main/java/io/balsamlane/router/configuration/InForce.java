package io.balsamlane.router.configuration;

import java.util.List;

import io.balsamlane.core.model.HostName;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * On which routers a revision is in force.
 *
 * @param revision the revision that was asked for
 * @param inForce routers that answered with this revision or a higher one
 * @param missing routers that answered with a lower one or not at all
 */
public record InForce(long revision, List<HostName> inForce, List<HostName> missing) {

	public InForce {
		inForce = List.copyOf(inForce);
		missing = List.copyOf(missing);
	}

	/**
	 * Formats the answer for operators.
	 * @return an object with {@code revision}, {@code inForce} and {@code missing}
	 */
	public JsonObject toJson() {
		return new JsonObject().put("revision", this.revision)
			.put("inForce", new JsonArray(this.inForce.stream().map(HostName::value).toList()))
			.put("missing", new JsonArray(this.missing.stream().map(HostName::value).toList()));
	}

}
