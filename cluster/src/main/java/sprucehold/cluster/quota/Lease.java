package sprucehold.cluster.quota;

/**
 * A lender's own units that a borrower may use for a limited time (Gray and Cheriton 1989).
 *
 * @param lender name of the lender
 * @param epoch epoch of the lender in which it granted the lease; a later epoch has no record of it
 * @param number unique within that epoch
 * @param units at least one
 */
public record Lease(String lender, long epoch, long number, int units) {}
