/**
 * Adapter between the simulation and the decision policy; the entry point is {@link
 * sprucehold.simulation.SimulationAdapter}. Only {@link sprucehold.simulation.WireReader} and
 * {@link sprucehold.simulation.WireWriter} use the names of the wire format. The adapter must not
 * make any decision itself.
 */
package sprucehold.simulation;
