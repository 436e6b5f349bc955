/**
 * What discovery and operators say of shard servers, joined so that the stricter holds: {@link
 * sprucehold.change.override.EndpointOverrides}. Pure. It must never lift a drain that discovery
 * reported.
 */
package sprucehold.change.override;
