/**
 * Scans as stories: {@link sprucehold.tracetools.story.ScanTallies} counts what befell each scan,
 * {@link sprucehold.tracetools.story.Storyteller} tells one in plain words. Pure: they must never
 * touch a file.
 */
package sprucehold.tracetools.story;
