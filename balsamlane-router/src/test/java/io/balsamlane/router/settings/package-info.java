/**
 * Tests of the settings.
 */
package io.balsamlane.router.settings;
