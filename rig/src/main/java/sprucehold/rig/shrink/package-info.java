/**
 * From a run that broke a rule to the fewest faults that still do ({@link
 * sprucehold.rig.shrink.Shrinker}), and scripts of faults drawn by chance to look for one ({@link
 * sprucehold.rig.shrink.Storm}). Pure: whoever plays is handed over.
 */
package sprucehold.rig.shrink;
