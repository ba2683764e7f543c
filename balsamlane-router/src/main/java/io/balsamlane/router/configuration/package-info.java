/**
 * Keeps the operators' configuration in force and submits changes.
 */
package io.balsamlane.router.configuration;
