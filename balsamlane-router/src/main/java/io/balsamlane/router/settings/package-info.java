/**
 * Loading of the daemon settings from an INI file and validation against the schema.
 */
package io.balsamlane.router.settings;
