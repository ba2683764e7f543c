/**
 * Tests for behaviour of the proxies that, if wrong, would hide faults in the router.
 */
package io.balsamlane.standin.proxy;
