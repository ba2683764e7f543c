/**
 * Recording of intents and outcomes of non-repeatable calls.
 */
package io.balsamlane.router.records;
