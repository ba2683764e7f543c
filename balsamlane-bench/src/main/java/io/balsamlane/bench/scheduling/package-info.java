/**
 * In-process checks of the scheduler: a simulation of the engines and a measurement of
 * the decision times.
 */
package io.balsamlane.bench.scheduling;
