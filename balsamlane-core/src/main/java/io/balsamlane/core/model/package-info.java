/**
 * Value types shared by all parts of the router.
 */
package io.balsamlane.core.model;
