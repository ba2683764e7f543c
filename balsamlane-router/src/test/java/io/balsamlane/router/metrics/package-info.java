/**
 * Tests of the metrics and their text format.
 */
package io.balsamlane.router.metrics;
