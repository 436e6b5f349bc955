/**
 * What a gatherer's decisions are told of the others, and what they consume of shared limits: which
 * limits there are now, how many units of each are this gatherer's own, and what may be consumed at
 * this moment. The entry point is {@link sprucehold.cluster.allowance.AllowanceTable}. Pure; it
 * must never decide which server a part goes to, nor grant more of a limit than its ledger and its
 * own part of the growth hold.
 */
package sprucehold.cluster.allowance;
