/**
 * Cluster membership: each gatherer's view of which other gatherers are alive, by probes, suspicion
 * and refutation (SWIM, Lifeguard). The entry point is {@link
 * sprucehold.cluster.membership.Membership}. The package is pure: no sockets, files, threads or
 * clocks. A shared limit must never depend on this view, since a partition makes any view wrong.
 */
package sprucehold.cluster.membership;
