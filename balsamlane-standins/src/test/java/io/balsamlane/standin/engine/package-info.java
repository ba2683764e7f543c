/**
 * Tests of the engine stand-in where a wrong stand-in would hide a fault of the product.
 */
package io.balsamlane.standin.engine;
