/**
 * The router daemon: its start, its stop and the state that its parts share.
 */
package io.balsamlane.router;
