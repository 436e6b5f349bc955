/**
 * Connections to shard servers and the frames sent on them. The entry point is {@link
 * sprucehold.shards.ShardServers}. {@code ShardFrame} and {@code GathererFrame} are the only
 * classes that depend on the format of the frames. This package must never start an attempt by
 * itself.
 */
package sprucehold.shards;
