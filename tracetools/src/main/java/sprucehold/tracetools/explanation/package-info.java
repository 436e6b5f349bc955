/**
 * Scans as stories: {@link sprucehold.tracetools.explanation.ScanTallies} counts what befell each
 * scan, {@link sprucehold.tracetools.explanation.Storyteller} tells one in plain words. Pure: they
 * must never touch a file.
 */
package sprucehold.tracetools.explanation;
