/**
 * Messages between routers.
 */
package io.balsamlane.router.peer;
