/**
 * Tests of the measurements' own arithmetic.
 */
package io.balsamlane.bench;
