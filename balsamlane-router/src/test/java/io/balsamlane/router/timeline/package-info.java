/**
 * Tests of the time line.
 */
package io.balsamlane.router.timeline;
