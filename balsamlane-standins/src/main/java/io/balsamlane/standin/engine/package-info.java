/**
 * Stand-in for a model engine.
 */
package io.balsamlane.standin.engine;
