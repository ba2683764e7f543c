/**
 * Polling of the host list of the platform.
 */
package io.balsamlane.router.hosts;
