/**
 * Explains queries. {@link sprucehold.tracetools.explanation.QueryStatisticsCollector} computes the
 * statistics of each query, and {@link sprucehold.tracetools.explanation.QueryExplainer} describes
 * a query in words. The package is pure: it must never access a file.
 */
package sprucehold.tracetools.explanation;
