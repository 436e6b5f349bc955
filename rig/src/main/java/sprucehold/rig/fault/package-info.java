/**
 * Decides which faults are active. {@link sprucehold.rig.fault.FaultSchedule} takes times and
 * counts of open attempts, and returns the faults that start or end. {@link
 * sprucehold.rig.fault.LinkFaults} combines the active faults of one link. Pure: the caller injects
 * each fault when it is returned.
 */
package sprucehold.rig.fault;
