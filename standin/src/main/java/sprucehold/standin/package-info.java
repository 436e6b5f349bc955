/**
 * Stand-ins for discovery and shard servers on this machine; the entry point is {@link
 * sprucehold.standin.StandIns}. They must never be reached by a gatherer in service.
 */
package sprucehold.standin;
