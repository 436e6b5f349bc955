/**
 * What operator and discovery say of shard servers, joined so that the stricter wins: {@link
 * sprucehold.change.override.ServerWords}. Pure. It must never lift a drain that discovery told of.
 */
package sprucehold.change.override;
