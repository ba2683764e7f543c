/**
 * Tests of the host list.
 */
package io.balsamlane.router.hosts;
