/**
 * Scheduling of model requests: grants of engines by schedulers or by the local router.
 */
package io.balsamlane.router.decision;
