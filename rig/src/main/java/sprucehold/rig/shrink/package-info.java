/**
 * Reduces a run that broke a rule to the fewest faults with which it still does ({@link
 * sprucehold.rig.shrink.Shrinker}), and draws random faults to find such a run ({@link
 * sprucehold.rig.shrink.RandomFaults}). Pure: the caller supplies the function that runs a script.
 */
package sprucehold.rig.shrink;
