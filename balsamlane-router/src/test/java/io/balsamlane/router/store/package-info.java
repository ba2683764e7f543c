/**
 * Tests of the store's views.
 */
package io.balsamlane.router.store;
