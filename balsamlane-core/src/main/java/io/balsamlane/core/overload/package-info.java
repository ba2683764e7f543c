/**
 * Decision logic for requests that wait for capacity under overload: their order, which
 * of them are rejected, and when rejected callers may return.
 */
package io.balsamlane.core.overload;
