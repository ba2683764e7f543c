/**
 * Orders that change the role, model or adapters of engines: leases and fencing numbers
 * that determine which router may issue them, and the planning of the changes.
 */
package io.balsamlane.core.orders;
