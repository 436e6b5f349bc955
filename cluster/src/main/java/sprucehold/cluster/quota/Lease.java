package sprucehold.cluster.quota;

/**
 * A lender's own units that a borrower may use for a time (Gray and Cheriton 1989).
 *
 * @param lender its name
 * @param epoch of the lender that granted it: a later epoch doesn't know it
 * @param number unique within that epoch
 * @param units at least one
 */
public record Lease(String lender, long epoch, long number, int units) {}
