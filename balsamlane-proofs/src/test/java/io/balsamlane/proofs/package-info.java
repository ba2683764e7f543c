/**
 * Proofs with real processes under faults.
 */
package io.balsamlane.proofs;
