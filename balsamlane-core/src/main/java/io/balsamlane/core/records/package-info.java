/**
 * Call records that ensure at-most-once execution of non-repeatable calls across all
 * routers.
 */
package io.balsamlane.core.records;
