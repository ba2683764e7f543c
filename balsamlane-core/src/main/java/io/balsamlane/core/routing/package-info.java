/**
 * Routing of requests to backend servers, and explanations of routing decisions.
 */
package io.balsamlane.core.routing;
