/**
 * Clocks that order events across processes.
 */
package io.balsamlane.core.time;
