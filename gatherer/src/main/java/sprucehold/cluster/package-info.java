/**
 * The cluster that a gatherer is a member of: wires what gatherers know together to the node and to
 * peer messaging. The entry point is {@link sprucehold.cluster.ClusterMember}, whose settings are
 * {@link sprucehold.cluster.ClusterConfig}. It must never decide anything: what is shared, weighed
 * and allowed is decided in {@code sprucehold.together}, and what follows from it in the one
 * module.
 */
package sprucehold.cluster;
