/**
 * Cluster membership: failure detection among routers and ownership of keys by rendezvous
 * hashing.
 */
package io.balsamlane.core.membership;
