/**
 * Tests for the daemon.
 */
package io.balsamlane.router;
