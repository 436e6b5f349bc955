/**
 * The verdict of a run: stores its ledgers and reads them again, checks the six rules with one
 * checker, computes the figures, and decides whether the rig itself was in time. The entry point is
 * {@link sprucehold.rig.verdict.VerdictBuilder}.
 */
package sprucehold.rig.verdict;
