/**
 * The router daemon: startup, shutdown and the state shared by its components.
 */
package io.balsamlane.router;
