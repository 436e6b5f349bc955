/**
 * Frames, and connections to shard servers; the entry point is {@link
 * sprucehold.shards.ShardServers}. It must never send a part again by itself.
 */
package sprucehold.shards;
