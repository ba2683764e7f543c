/**
 * Forwarding of callers' requests, unchanged, to backend servers, by the conventions of a
 * platform.
 */
package io.balsamlane.router.forwarding;
