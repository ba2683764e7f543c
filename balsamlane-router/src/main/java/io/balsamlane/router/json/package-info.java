/**
 * Decoding of JSON that other programs wrote.
 */
package io.balsamlane.router.json;
