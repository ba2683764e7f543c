/**
 * Tests of the decisions on quotas between routers.
 */
package io.balsamlane.router.quota;
