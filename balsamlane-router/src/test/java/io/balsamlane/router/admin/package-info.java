/**
 * Tests for the operator port.
 */
package io.balsamlane.router.admin;
