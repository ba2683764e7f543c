/**
 * Quarantine of prompt parts under which backend servers crash, and its replication to
 * other routers and to the store.
 */
package io.balsamlane.router.quarantine;
