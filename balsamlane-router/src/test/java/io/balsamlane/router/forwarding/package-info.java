/**
 * Tests of forwarding.
 */
package io.balsamlane.router.forwarding;
