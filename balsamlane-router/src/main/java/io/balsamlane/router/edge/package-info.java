/**
 * HTTP interface for callers.
 */
package io.balsamlane.router.edge;
