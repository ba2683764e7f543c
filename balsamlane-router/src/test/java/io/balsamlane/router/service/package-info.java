/**
 * Tests of the routing of calls to plain services.
 */
package io.balsamlane.router.service;
