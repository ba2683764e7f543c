/**
 * Tests for the submission of configuration changes to the store.
 */
package io.balsamlane.router.configuration;
