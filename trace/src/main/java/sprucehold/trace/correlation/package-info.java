/**
 * Assigns events and commands to their queries while a trace is written or read: {@link
 * sprucehold.trace.correlation.QueryCorrelator}. The package keeps only those queries in memory
 * that are open or have a pending attempt, and must never exceed its bound per source.
 */
package sprucehold.trace.correlation;
