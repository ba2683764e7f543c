/**
 * Distribution and application of the operator configuration, and submission of changes.
 */
package io.balsamlane.router.configuration;
