/**
 * Tests of the log lines.
 */
package io.balsamlane.router.log;
