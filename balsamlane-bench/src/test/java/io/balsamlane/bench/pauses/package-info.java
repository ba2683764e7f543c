/**
 * Tests of the model of servers that ask for pauses.
 */
package io.balsamlane.bench.pauses;
