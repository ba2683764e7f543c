/**
 * Reading of HTTP responses within limits of size, memory and time.
 */
package io.balsamlane.router.http;
