/**
 * The adapter between the bench's simulation and the decision policy; the entry point is {@link
 * sprucehold.simulation.SimulationAdapter}. Names on the wire are known to {@link
 * sprucehold.simulation.WireReader} and {@link sprucehold.simulation.WireWriter} alone. It must
 * never decide anything.
 */
package sprucehold.simulation;
