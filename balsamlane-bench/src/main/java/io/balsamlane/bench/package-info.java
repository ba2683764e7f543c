/**
 * Measurements with real processes and stand-ins of known capacity.
 */
package io.balsamlane.bench;
