/**
 * Stand-ins for the external systems, used by tests, the demo and measurements.
 */
package io.balsamlane.standin;
