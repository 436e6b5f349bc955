package sprucehold.discovery;

import java.util.List;
import sprucehold.coordinator.EndpointUpdate;

/**
 * One answer of discovery.
 *
 * @param index the version of the list
 * @param complete whether all shard servers are named, or only those that changed
 * @param servers the shard servers named
 */
public record EndpointList(long index, boolean complete, List<EndpointUpdate> servers) {}
