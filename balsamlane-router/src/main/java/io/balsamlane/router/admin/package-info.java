/**
 * HTTP interface for operators, health checks and metrics.
 */
package io.balsamlane.router.admin;
