/**
 * Accounting of the memory that data from other processes occupies.
 */
package io.balsamlane.core.memory;
