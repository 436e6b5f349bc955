/**
 * Statistics of traces: {@link sprucehold.tracetools.summary.TraceSummary} computes them, and
 * {@link sprucehold.tracetools.summary.SummaryPage} renders them as HTML. Memory is bounded: names
 * above a maximum number are counted together.
 */
package sprucehold.tracetools.summary;
