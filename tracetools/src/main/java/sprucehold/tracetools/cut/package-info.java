/**
 * Cuts a time window out of a trace: {@link sprucehold.tracetools.cut.TraceCut}. A query belongs to
 * the window in which it was taken, whole; it must never be in two, or half in one.
 */
package sprucehold.tracetools.cut;
