/**
 * Who is there: each gatherer's view of the others, by probes, suspicion and refutation. The entry
 * point is {@link sprucehold.cluster.membership.Membership}. Pure: no sockets, files, threads or
 * clocks; it must never be what a bound rests on, since a partition makes any view wrong.
 */
package sprucehold.cluster.membership;
