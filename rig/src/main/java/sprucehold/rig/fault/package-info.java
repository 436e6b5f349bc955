/**
 * Which faults are in force: times and sights in, begins and ends out ({@link
 * sprucehold.rig.fault.FaultBoard}), and what they come to on one link ({@link
 * sprucehold.rig.fault.LinkBoard}). Pure: whoever carries a fault out is told when.
 */
package sprucehold.rig.fault;
