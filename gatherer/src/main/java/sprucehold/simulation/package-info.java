/**
 * The adapter between the bench's wire and the interface of the decisions; the entry point is
 * {@link sprucehold.simulation.Drill}. It must never decide anything.
 */
package sprucehold.simulation;
