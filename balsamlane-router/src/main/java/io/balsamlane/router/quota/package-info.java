/**
 * Decides whether a request is within its customer's quota, together with the other
 * routers.
 */
package io.balsamlane.router.quota;
