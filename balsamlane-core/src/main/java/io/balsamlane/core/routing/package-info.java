/**
 * Which backend servers a request may reach, and why.
 */
package io.balsamlane.core.routing;
