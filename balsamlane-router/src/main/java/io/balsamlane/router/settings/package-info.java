/**
 * Settings of the daemon, read from an INI file and checked against the schema.
 */
package io.balsamlane.router.settings;
