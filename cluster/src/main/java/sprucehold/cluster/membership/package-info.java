/**
 * Which gatherers are there: each one's view of the others, by probes, suspicion and refutation
 * (SWIM, Lifeguard). The entry point is {@link sprucehold.cluster.membership.Membership}. Pure: no
 * sockets, files, threads or clocks; a shared limit must never rest on it, since a partition makes
 * any view wrong.
 */
package sprucehold.cluster.membership;
