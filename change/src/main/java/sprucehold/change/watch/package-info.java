/**
 * Health watch of a new version: {@link sprucehold.change.watch.HealthWatch} compares the service
 * after the version went live with the service before, by a sequential test with a bounded rate of
 * false alarms. The package is purely functional: its input is time windows, and its output is a
 * verdict.
 */
package sprucehold.change.watch;
