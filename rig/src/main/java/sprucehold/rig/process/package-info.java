/**
 * Gatherers as separate processes: the shipped jar is started, signalled and ended by process id.
 * The entry point is {@link sprucehold.rig.process.GathererProcess}; {@link
 * sprucehold.rig.process.Guardian} ends the processes if the rig can't.
 */
package sprucehold.rig.process;
