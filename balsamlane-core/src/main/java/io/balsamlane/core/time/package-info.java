/**
 * Time that orders events across processes.
 */
package io.balsamlane.core.time;
