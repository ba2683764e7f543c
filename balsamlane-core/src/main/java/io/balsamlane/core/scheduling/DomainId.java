package io.balsamlane.core.scheduling;

import io.balsamlane.core.model.Place;

/**
 * Scheduling domain: the engines of a model in a place.
 *
 * @param model name of the model
 * @param place the place
 */
public record DomainId(String model, Place place) {

	/**
	 * Returns the key by which the routers agree on the owner.
	 * @return the key
	 */
	public String ownerKey() {
		return "scheduler/" + this.model + "/" + this.place;
	}

}
