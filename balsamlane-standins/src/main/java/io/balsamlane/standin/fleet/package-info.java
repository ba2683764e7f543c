/**
 * Starts stand-ins and routers as separate processes for tests and measurements, and
 * injects faults into them.
 */
package io.balsamlane.standin.fleet;
