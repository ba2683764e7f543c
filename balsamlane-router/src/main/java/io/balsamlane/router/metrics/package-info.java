/**
 * Metrics of the daemon and their text format for collectors.
 */
package io.balsamlane.router.metrics;
