/**
 * Load generator that sends seeded arrivals and prompts, checks the answers and records
 * latencies.
 */
package io.balsamlane.bench.load;
