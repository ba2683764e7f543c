/**
 * Tests of the daemon.
 */
package io.balsamlane.router;
