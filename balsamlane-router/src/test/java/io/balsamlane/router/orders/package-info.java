/**
 * Tests of the orders to engines.
 */
package io.balsamlane.router.orders;
