/**
 * Fleets in simulated time that try what gatherers know together: many members, a network that
 * loses, doubles, delays and cuts, crashes, pauses, clocks that drift. The entry point is {@link
 * sprucehold.cluster.simulation.SharePlay}. One seed decides everything; it must never be loaded by
 * what serves.
 */
package sprucehold.cluster.simulation;
