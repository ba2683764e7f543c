/**
 * Tests of the load generator where a wrong one would report wrong figures.
 */
package io.balsamlane.bench.load;
