/**
 * What a run comes to: its ledgers kept and read again, judged by the one checker of the six rules,
 * its figures, and whether the rig itself was in time. The entry point is {@link
 * sprucehold.rig.verdict.Judge}.
 */
package sprucehold.rig.verdict;
