/**
 * Tests of the load generator for faults that would make it report wrong results.
 */
package io.balsamlane.bench.load;
