/**
 * One run, from a plan to a folder of ledgers. {@link sprucehold.rig.run.Run} starts all parties,
 * applies faults at their times, sends the planned queries and ends all parties. Everything runs on
 * one event loop.
 */
package sprucehold.rig.run;
