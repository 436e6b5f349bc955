/**
 * What gatherers saw of shard servers, spread as evidence and weighed by each for itself. The entry
 * point is {@link sprucehold.cluster.evidence.Evidence}. Pure; it must never set a server aside,
 * undo a drain or warm a cold server: it hands out weights, and the one module decides.
 */
package sprucehold.cluster.evidence;
