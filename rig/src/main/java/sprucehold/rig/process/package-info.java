/**
 * Gatherers as processes of their own: the shipped jar, started, signalled and ended by id. The
 * entry point is {@link sprucehold.rig.process.GathererProcess}; {@link
 * sprucehold.rig.process.Guardian} ends them if the rig can't.
 */
package sprucehold.rig.process;
