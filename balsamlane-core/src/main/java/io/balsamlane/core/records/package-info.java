/**
 * Records that let a non-repeatable call run at most once in the whole fleet.
 */
package io.balsamlane.core.records;
