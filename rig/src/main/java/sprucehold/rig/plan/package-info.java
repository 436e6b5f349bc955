/**
 * Everything random in a run, drawn from one seed before the run begins: the gatherers and shard
 * servers with their seeds, every query that clients will send, and the targets of each fault. The
 * entry point is {@link sprucehold.rig.plan.Planner}. Pure; the same script and seed give the same
 * plan, byte for byte.
 */
package sprucehold.rig.plan;
