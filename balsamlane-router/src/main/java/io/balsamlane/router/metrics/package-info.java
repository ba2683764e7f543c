/**
 * Metrics of the daemon and their text form for collectors.
 */
package io.balsamlane.router.metrics;
