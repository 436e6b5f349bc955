/**
 * The rig: many gatherers as processes on one machine, faults between them, one checker of the
 * rules. The entry point is {@link sprucehold.rig.run.Run}; docs/rig.md says how it is made. It
 * must never be part of what serves.
 */
package sprucehold.rig;
