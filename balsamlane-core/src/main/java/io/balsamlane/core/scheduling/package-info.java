/**
 * Admission, placement and accounting of model requests, without I/O, clock or threads.
 */
package io.balsamlane.core.scheduling;
