package io.balsamlane.router.forwarding;

import io.balsamlane.core.forwarding.ListedServer;

/**
 * KV cache of a prompt whose prefill is complete.
 *
 * @param engine engine that holds the cache
 * @param handle handle of the cache on that engine
 */
record KvCache(ListedServer engine, String handle) {
}
