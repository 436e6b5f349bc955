/**
 * Cuts a time window out of a trace: {@link sprucehold.tracetools.cut.TraceCut}. All records of a
 * query belong to the window in which the query was received. A query must never be in two windows,
 * nor in part in one.
 */
package sprucehold.tracetools.cut;
