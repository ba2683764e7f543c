/**
 * Tests of reading HTTP responses within limits.
 */
package io.balsamlane.router.http;
