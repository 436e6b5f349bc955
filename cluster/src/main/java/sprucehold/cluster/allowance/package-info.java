/**
 * What a gatherer's decisions are told of others, and what they take of shared bounds: which bounds
 * there are now, how large this gatherer's home of each is, and what may be taken at this moment.
 * The entry point is {@link sprucehold.cluster.allowance.Rooms}. Pure; it must never decide which
 * server a part goes to, nor hand out more of a bound than its ledger and its own growth hold.
 */
package sprucehold.cluster.allowance;
