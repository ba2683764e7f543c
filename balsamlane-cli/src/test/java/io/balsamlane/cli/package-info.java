/**
 * Tests of the operators' tool.
 */
package io.balsamlane.cli;
