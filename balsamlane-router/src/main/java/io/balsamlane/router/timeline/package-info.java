/**
 * Event log of this process in a bounded ring buffer, and queries over all routers.
 */
package io.balsamlane.router.timeline;
