/**
 * The operators' configuration: label expressions, edits with preconditions, and the
 * revision that is in force.
 */
package io.balsamlane.core.configuration;
