/**
 * Access to model engines.
 */
package io.balsamlane.router.engine;
