/**
 * Logging support: contextual log fields and rate limiting of repeated errors.
 */
package io.balsamlane.router.log;
