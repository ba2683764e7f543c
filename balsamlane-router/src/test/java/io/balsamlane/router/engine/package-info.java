/**
 * Tests of the clients of engines and of their health.
 */
package io.balsamlane.router.engine;
