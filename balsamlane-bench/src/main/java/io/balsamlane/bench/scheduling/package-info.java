/**
 * Checks of the scheduler without processes: model of the engines and decision times.
 */
package io.balsamlane.bench.scheduling;
