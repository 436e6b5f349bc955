/**
 * Statistics of traces: {@link sprucehold.tracetools.summary.TraceSummary} computes them, and
 * {@link sprucehold.tracetools.summary.SummaryPage} renders them as HTML. Memory is bounded: when a
 * maximum number of names is reached, all further names are counted together.
 */
package sprucehold.tracetools.summary;
