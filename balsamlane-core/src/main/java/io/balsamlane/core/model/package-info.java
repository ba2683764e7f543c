/**
 * Value types that all parts of the router share.
 */
package io.balsamlane.core.model;
