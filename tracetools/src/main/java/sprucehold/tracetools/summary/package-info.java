/**
 * Traces in figures: {@link sprucehold.tracetools.summary.TraceSummary} counts, {@link
 * sprucehold.tracetools.summary.SummaryPage} draws. Memory is bounded: beyond so many names the
 * rest is pooled.
 */
package sprucehold.tracetools.summary;
