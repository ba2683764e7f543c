/**
 * Tests for the logging support.
 */
package io.balsamlane.router.log;
