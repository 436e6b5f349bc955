/**
 * Stand-ins for discovery and shard servers on this machine; the entry point is {@link
 * sprucehold.standin.StandIns}. A gatherer in service must never use them.
 */
package sprucehold.standin;
