package io.balsamlane.router.forwarding;

import io.balsamlane.core.forwarding.ListedServer;

/**
 * KV cache of a prompt that was read.
 *
 * @param engine engine that keeps it
 * @param handle its name there
 */
record KvCache(ListedServer engine, String handle) {
}
