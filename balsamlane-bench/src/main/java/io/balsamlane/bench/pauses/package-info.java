/**
 * Model of a plain service whose servers ask for pauses.
 */
package io.balsamlane.bench.pauses;
