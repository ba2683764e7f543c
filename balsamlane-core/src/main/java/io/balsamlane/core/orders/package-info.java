/**
 * Orders to engines: who may issue them, which ones are needed, and when.
 */
package io.balsamlane.core.orders;
