/**
 * Admission, placement and resource accounting of model requests. The classes perform no
 * I/O, read no clock and start no threads.
 */
package io.balsamlane.core.scheduling;
