/**
 * Sends orders to engines as decided by {@code io.balsamlane.core.orders}.
 */
package io.balsamlane.router.orders;
