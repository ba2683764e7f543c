/**
 * Retry budgets, replica selection, server availability and quarantine of requests that
 * crash backend servers.
 */
package io.balsamlane.core.retry;
