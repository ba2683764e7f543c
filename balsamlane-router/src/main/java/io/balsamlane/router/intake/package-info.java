/**
 * Limits what callers that the operators do not control may occupy in this process:
 * memory, time and connections.
 */
package io.balsamlane.router.intake;
