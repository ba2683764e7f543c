/**
 * Tests of the access to the platform store.
 */
package io.balsamlane.router.store;
