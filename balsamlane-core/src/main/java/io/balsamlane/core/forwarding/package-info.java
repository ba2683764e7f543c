/**
 * Decisions on requests that are forwarded unchanged: route, attempts, retry budget,
 * backend servers and placement.
 */
package io.balsamlane.core.forwarding;
