/**
 * Tests of the guarantees with real processes under injected faults.
 */
package io.balsamlane.proofs;
