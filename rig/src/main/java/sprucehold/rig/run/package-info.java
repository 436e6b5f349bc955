/**
 * One run from a plan to a folder of ledgers: {@link sprucehold.rig.run.Run} starts everything,
 * carries faults out at their times, asks the planned scans and ends everything. All on one event
 * loop.
 */
package sprucehold.rig.run;
