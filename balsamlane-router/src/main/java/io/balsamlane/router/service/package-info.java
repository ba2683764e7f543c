/**
 * Routing of calls to plain services.
 */
package io.balsamlane.router.service;
