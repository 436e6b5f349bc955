/**
 * Connections to shard servers and the frames on them; the entry point is {@link
 * sprucehold.shards.ShardServers}. {@code ShardFrame} and {@code GathererFrame} are the only places
 * that know the frames' form. It must never make an attempt by itself.
 */
package sprucehold.shards;
