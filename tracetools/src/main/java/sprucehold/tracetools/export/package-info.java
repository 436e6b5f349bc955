/**
 * Exports traces for other tools, as CSV or JSON lines: {@link
 * sprucehold.tracetools.export.TraceExport}.
 */
package sprucehold.tracetools.export;
