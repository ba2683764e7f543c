/**
 * Events of this process, kept in a bounded ring.
 */
package io.balsamlane.router.timeline;
