package io.balsamlane.core.scheduling;

import io.balsamlane.core.model.Place;

/**
 * Identifier of a scheduling domain: the engines of one model in one place.
 *
 * @param model name of the model
 * @param place the place
 */
public record DomainId(String model, Place place) {

	/**
	 * Return the key from which all routers derive the same owner of the domain.
	 * @return the key
	 */
	public String ownerKey() {
		return "scheduler/" + this.model + "/" + this.place;
	}

}
