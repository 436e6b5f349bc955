/**
 * Observations of shard servers by gatherers, which are sent as evidence and assessed by each
 * gatherer for itself. The entry point is {@link sprucehold.cluster.evidence.EvidenceTable}. The
 * package is pure. It must never eject a server, undo a drain or warm a server up: it returns
 * failure scores, and the query scheduler decides.
 */
package sprucehold.cluster.evidence;
