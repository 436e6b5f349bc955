/**
 * All chance of a run, drawn from one seed before it begins: who takes part, every scan that
 * clients will ask, and whom each fault befalls. The entry point is {@link
 * sprucehold.rig.plan.Planner}. Pure; the same seed gives the same plan to the byte.
 */
package sprucehold.rig.plan;
