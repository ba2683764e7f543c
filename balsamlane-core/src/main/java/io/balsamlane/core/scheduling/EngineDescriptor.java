package io.balsamlane.core.scheduling;

import io.balsamlane.core.model.Place;
import io.balsamlane.schema.EngineRole;

/**
 * Static description of an engine, taken from the configuration and the host list.
 *
 * @param name name of the engine
 * @param pool name of its pool
 * @param role prefill or decode
 * @param model model of the pool
 * @param place place of the engine
 * @param region region of the place
 */
public record EngineDescriptor(String name, String pool, EngineRole role, String model, Place place, String region) {
}
