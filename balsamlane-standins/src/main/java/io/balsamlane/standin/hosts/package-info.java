/**
 * Stand-in for the platform's host list.
 */
package io.balsamlane.standin.hosts;
