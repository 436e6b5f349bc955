/**
 * The watch of service after a version went live: {@link sprucehold.change.watch.HealthWatch}, a
 * sequential test with a bounded rate of false alarms. Pure: time windows in, a verdict out.
 */
package sprucehold.change.watch;
