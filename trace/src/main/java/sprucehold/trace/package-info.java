/** Trace files. */
package sprucehold.trace;
