/**
 * The fault-injection test bed ("rig"): runs many gatherers as processes on one machine, injects
 * faults between them, and checks the rules of the service with one checker. The entry point is
 * {@link sprucehold.rig.run.Run}; docs/rig.md describes the design. The serving program must never
 * depend on it.
 */
package sprucehold.rig;
