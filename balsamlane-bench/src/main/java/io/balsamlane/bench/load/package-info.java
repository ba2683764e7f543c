/**
 * Load generator: seeded arrivals and prompts, checked answers, latency records.
 */
package io.balsamlane.bench.load;
