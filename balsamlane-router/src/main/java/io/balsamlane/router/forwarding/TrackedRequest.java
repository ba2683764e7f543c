package io.balsamlane.router.forwarding;

/**
 * Request in progress that ends when it is quarantined.
 */
interface TrackedRequest {

	/**
	 * Return the properties by which the request may be quarantined.
	 * @return the properties
	 */
	RequestTraits traits();

	/**
	 * End the request because it is quarantined now.
	 */
	void quarantined();

}
