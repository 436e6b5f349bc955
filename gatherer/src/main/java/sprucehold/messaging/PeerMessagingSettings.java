package sprucehold.messaging;

import java.util.Map;

/**
 * Where letters come and go.
 *
 * @param self this gatherer's name
 * @param host address at which it listens, for datagrams and for connections
 * @param port of both
 * @param others where each other gatherer is reached, by its name
 * @param bytesPerS so many bytes leave in a second at the most; what is beyond is dropped, as the
 *     network may do anyway
 */
public record PeerMessagingSettings(
        String self, String host, int port, Map<String, Address> others, double bytesPerS) {
    /** A host by its address, and a port. */
    public record Address(String host, int port) {}

    public PeerMessagingSettings {
        others = Map.copyOf(others);
    }
}
