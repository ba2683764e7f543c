/**
 * Stand-in for a plain service.
 */
package io.balsamlane.standin.service;
