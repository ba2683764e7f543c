/**
 * Log lines: their fields, and the limit on repeated errors.
 */
package io.balsamlane.router.log;
