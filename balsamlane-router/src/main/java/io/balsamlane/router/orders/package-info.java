/**
 * Orders to engines: carries out what {@code io.balsamlane.core.orders} decides.
 */
package io.balsamlane.router.orders;
