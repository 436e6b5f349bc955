/**
 * Follows the endpoint list that discovery tells; the entry point is {@link
 * sprucehold.discovery.EndpointWatch}, and {@code EndpointListReader} is the only place that knows
 * the keys. It must never hold an endpoint update back.
 */
package sprucehold.discovery;
