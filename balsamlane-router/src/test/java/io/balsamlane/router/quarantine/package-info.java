/**
 * Tests of the quarantine of prompt parts and its replication.
 */
package io.balsamlane.router.quarantine;
