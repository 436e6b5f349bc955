/**
 * What gatherers observed of shard servers, spread as evidence and weighed by each for itself. The
 * entry point is {@link sprucehold.cluster.evidence.EvidenceTable}. Pure; it must never eject a
 * server, undo a drain or warm a server up: it hands out failure scores, and the query scheduler
 * decides.
 */
package sprucehold.cluster.evidence;
