package io.balsamlane.router.configuration;

import java.util.List;

import io.balsamlane.core.model.HostName;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The routers on which a revision is in force and those on which it is not.
 *
 * @param revision the queried revision
 * @param inForce the routers that answered with this revision or a higher one
 * @param missing the routers that answered with a lower revision or not at all
 */
public record InForce(long revision, List<HostName> inForce, List<HostName> missing) {

	public InForce {
		inForce = List.copyOf(inForce);
		missing = List.copyOf(missing);
	}

	/**
	 * Return the result as JSON for operators.
	 * @return an object with {@code revision}, {@code inForce} and {@code missing}
	 */
	public JsonObject toJson() {
		return new JsonObject().put("revision", this.revision)
			.put("inForce", new JsonArray(this.inForce.stream().map(HostName::value).toList()))
			.put("missing", new JsonArray(this.missing.stream().map(HostName::value).toList()));
	}

}
