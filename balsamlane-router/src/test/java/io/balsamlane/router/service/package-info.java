/**
 * Tests of calls of plain services.
 */
package io.balsamlane.router.service;
