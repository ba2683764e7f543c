/**
 * Tests of the metrics.
 */
package io.balsamlane.router.metrics;
