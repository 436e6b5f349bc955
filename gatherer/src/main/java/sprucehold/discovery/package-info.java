/**
 * Follows the endpoint list of discovery. The entry point is {@link
 * sprucehold.discovery.EndpointWatch}; {@code EndpointListReader} is the only class that uses the
 * JSON keys of the list. The package must never delay an endpoint update.
 */
package sprucehold.discovery;
