/**
 * Stand-ins for the outside systems, used by tests, the demo and measurements.
 */
package io.balsamlane.standin;
