/**
 * Reduces the faults of a run that broke a rule to those that are needed to break it ({@link
 * sprucehold.rig.shrink.Shrinker}), and draws random faults to find such a run ({@link
 * sprucehold.rig.shrink.RandomFaults}). Pure: the caller supplies the function that runs a script.
 */
package sprucehold.rig.shrink;
