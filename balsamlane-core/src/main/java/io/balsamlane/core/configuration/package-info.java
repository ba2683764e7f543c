/**
 * Configuration managed by operators: label expressions, conditional edits, and
 * propagation of the applied revision to all nodes.
 */
package io.balsamlane.core.configuration;
