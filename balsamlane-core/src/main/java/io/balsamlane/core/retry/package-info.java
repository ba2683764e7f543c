/**
 * What is tried again, where, and what is not.
 */
package io.balsamlane.core.retry;
