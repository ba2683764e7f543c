/**
 * Client, health tracking and audit of the model engines.
 */
package io.balsamlane.router.engine;
