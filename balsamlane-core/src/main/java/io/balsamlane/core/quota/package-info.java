/**
 * Token quotas of customers for the whole fleet: the bucket of a quota's owner, the share
 * that a router uses while no owner answers, and the size of the fleet on which both
 * depend.
 */
package io.balsamlane.core.quota;
