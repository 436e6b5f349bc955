/**
 * Which query an event or command belongs to, told as entries go by: {@link
 * sprucehold.trace.correlation.QueryCorrelator}. It holds only queries that are open or have an
 * attempt pending, and must never hold more than its bound.
 */
package sprucehold.trace.correlation;
