/**
 * One HTML page of a run, with its charts inside; the entry point is {@link
 * sprucehold.rig.report.RunPage}.
 */
package sprucehold.rig.report;
