/**
 * The view that a gatherer's decisions have of the other gatherers, and their consumption of shared
 * limits: which limits exist now, how many units of each are this gatherer's own, and how many may
 * be consumed now. The entry point is {@link sprucehold.cluster.allowance.AllowanceTable}. The
 * package is pure. It must never decide which server a part is sent to, nor grant more of a limit
 * than the limit's ledger and this gatherer's own part of the growth contain.
 */
package sprucehold.cluster.allowance;
