/**
 * Forwards requests of callers unchanged to backend servers, in the dialect of a
 * platform.
 */
package io.balsamlane.router.forwarding;
