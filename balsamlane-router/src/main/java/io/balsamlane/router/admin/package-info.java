/**
 * HTTP interface for operator requests, health checks and metrics.
 */
package io.balsamlane.router.admin;
