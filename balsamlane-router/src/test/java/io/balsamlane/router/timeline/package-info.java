/**
 * Tests for the event timeline.
 */
package io.balsamlane.router.timeline;
