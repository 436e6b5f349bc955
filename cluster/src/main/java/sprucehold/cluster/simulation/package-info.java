/**
 * Fleets in simulated time that try the coordination of gatherers: many members, a network that
 * loses, repeats, delays and cuts, crashes, pauses, clocks that drift. The entry points are {@link
 * sprucehold.cluster.simulation.MembershipSimulation}, {@link
 * sprucehold.cluster.simulation.QuotaSimulation} and {@link
 * sprucehold.cluster.simulation.EvidenceSimulation}. One seed decides everything; it must never be
 * loaded by what serves.
 */
package sprucehold.cluster.simulation;
