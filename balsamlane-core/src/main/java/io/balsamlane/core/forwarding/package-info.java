/**
 * Decision logic for requests that are forwarded unchanged: routes, attempts, retry
 * budgets, backend servers and placement on engines.
 */
package io.balsamlane.core.forwarding;
