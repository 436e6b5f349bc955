/**
 * Operator overrides of the endpoint list: {@link sprucehold.change.override.EndpointOverrides}
 * combines the state that discovery reports for a shard server with the operators' override, and
 * the stricter of both applies. The package is purely functional. It must never cancel a drain that
 * discovery reported.
 */
package sprucehold.change.override;
