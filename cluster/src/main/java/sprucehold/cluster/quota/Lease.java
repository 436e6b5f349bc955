package sprucehold.cluster.quota;

/**
 * Units of a lender's home that another may use for a while.
 *
 * @param lender its name
 * @param epoch which life of the lender granted it: a loan of an earlier life is none that this one
 *     knows of
 * @param number unique within that life
 * @param units at least one
 */
public record Lease(String lender, long epoch, long number, int units) {}
