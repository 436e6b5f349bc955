/**
 * Stand-ins for discovery and shard servers that run on the local machine; the entry point is
 * {@link sprucehold.standin.StandIns}. A gatherer in production must never use them.
 */
package sprucehold.standin;
