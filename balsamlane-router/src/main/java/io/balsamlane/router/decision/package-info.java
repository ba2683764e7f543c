/**
 * Grants of engines to model requests.
 */
package io.balsamlane.router.decision;
