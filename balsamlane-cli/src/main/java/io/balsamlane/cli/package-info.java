/**
 * The operators' command-line tool.
 */
package io.balsamlane.cli;
