/**
 * Tests for behaviour of the engine stand-in that, if wrong, would hide faults in the
 * router.
 */
package io.balsamlane.standin.engine;
