/**
 * Reads the platform's host list.
 */
package io.balsamlane.router.hosts;
