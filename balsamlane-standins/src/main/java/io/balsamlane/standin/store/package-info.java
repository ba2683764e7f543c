/**
 * Stand-in for the platform store.
 */
package io.balsamlane.standin.store;
