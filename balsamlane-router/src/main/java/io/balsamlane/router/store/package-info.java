/**
 * Access to the platform store.
 */
package io.balsamlane.router.store;
