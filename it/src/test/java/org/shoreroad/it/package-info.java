/**
 * Tests of the whole: daemons and stand-ins, most in one process, some as processes of their own.
 */
package org.shoreroad.it;
