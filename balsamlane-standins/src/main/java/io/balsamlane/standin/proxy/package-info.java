/**
 * Proxies that add faults to the responses of a stand-in.
 */
package io.balsamlane.standin.proxy;
