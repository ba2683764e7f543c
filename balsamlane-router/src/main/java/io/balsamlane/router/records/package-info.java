/**
 * Records of non-repeatable calls.
 */
package io.balsamlane.router.records;
