/**
 * The cluster that a gatherer is a member of: wires what gatherers know together to the node and to
 * peer messaging. The entry point is {@link sprucehold.clustering.ClusterMember}, whose settings
 * are {@link sprucehold.clustering.ClusterConfig}. It must never decide anything: what is shared,
 * weighed and allowed is decided in {@code sprucehold.cluster}, and what follows from it in the one
 * module.
 */
package sprucehold.clustering;
