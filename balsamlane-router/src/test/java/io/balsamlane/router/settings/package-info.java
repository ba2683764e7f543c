/**
 * Tests for loading the settings and for their reference page.
 */
package io.balsamlane.router.settings;
