/**
 * Calls of plain services.
 */
package io.balsamlane.router.service;
