/**
 * Tests of the configuration's path through store and peers.
 */
package io.balsamlane.router.configuration;
