/**
 * Which routers are alive, and which of them owns what.
 */
package io.balsamlane.core.membership;
