/**
 * Membership of a gatherer in the cluster: connects the coordination of gatherers to the node and
 * to peer messaging. The entry point is {@link sprucehold.clustering.ClusterMember}; its settings
 * are {@link sprucehold.clustering.ClusterConfig}. The package must never make decisions. {@code
 * sprucehold.cluster} decides what is shared, how reports are weighted and what is allowed. The
 * decision policy in module {@code core} decides how the gatherer uses that.
 */
package sprucehold.clustering;
