/**
 * Renders a run as one HTML page that contains its charts. The entry point is {@link
 * sprucehold.rig.report.RunPage}.
 */
package sprucehold.rig.report;
