/**
 * Tests of the operator port.
 */
package io.balsamlane.router.admin;
