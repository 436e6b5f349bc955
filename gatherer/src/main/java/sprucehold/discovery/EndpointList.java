package sprucehold.discovery;

import java.util.List;
import sprucehold.coordinator.EndpointUpdate;

/**
 * Endpoint list, or a change to it, as discovery returned it in one response.
 *
 * @param index version of the list
 * @param complete true if the response contains all shard servers, false if it contains only those
 *     that changed
 * @param servers shard servers in the response
 */
public record EndpointList(long index, boolean complete, List<EndpointUpdate> servers) {}
