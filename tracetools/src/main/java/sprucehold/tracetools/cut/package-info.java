/**
 * Cuts a time window out of a trace: {@link sprucehold.tracetools.cut.TraceCut}. All records of a
 * query belong to the window in which the query was received. The records of a query must never be
 * divided between two windows or written incompletely.
 */
package sprucehold.tracetools.cut;
