package io.balsamlane.core.scheduling;

import io.balsamlane.core.model.Place;
import io.balsamlane.schema.EngineRole;

/**
 * An engine as configuration and host list show it.
 *
 * @param name name of the engine
 * @param pool name of its pool
 * @param role prefill or decode
 * @param model model of the pool
 * @param place place of the engine
 * @param region region of the place
 */
public record EngineFacts(String name, String pool, EngineRole role, String model, Place place, String region) {
}
