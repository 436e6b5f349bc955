/**
 * Queries explained: {@link sprucehold.tracetools.explanation.QueryStatisticsCollector} counts what
 * befell each query, {@link sprucehold.tracetools.explanation.QueryExplainer} tells one in plain
 * words. Pure: they must never touch a file.
 */
package sprucehold.tracetools.explanation;
