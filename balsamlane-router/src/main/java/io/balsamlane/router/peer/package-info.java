/**
 * Membership and messages between routers.
 */
package io.balsamlane.router.peer;
