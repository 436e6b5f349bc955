/**
 * Simulations that test the coordination of gatherers in simulated time: fleets of many members,
 * networks that lose, duplicate, delay and cut off messages, crashes, pauses, and clocks that
 * drift. The entry points are {@link sprucehold.cluster.simulation.MembershipSimulation}, {@link
 * sprucehold.cluster.simulation.QuotaSimulation} and {@link
 * sprucehold.cluster.simulation.EvidenceSimulation}. One seed determines the whole run. Production
 * code must never load this package.
 */
package sprucehold.cluster.simulation;
