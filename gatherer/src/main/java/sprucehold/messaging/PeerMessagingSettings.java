package sprucehold.messaging;

import java.util.Map;

/**
 * Where peer messages come and go.
 *
 * @param self this gatherer's name
 * @param host address at which it listens, for datagrams and for connections
 * @param port of both
 * @param peers where each other gatherer is reached, by its name
 * @param bytesPerSecond so many bytes leave in a second at the most; what is beyond is dropped, as
 *     the network may do anyway
 */
public record PeerMessagingSettings(
        String self, String host, int port, Map<String, Address> peers, double bytesPerSecond) {
    /** A host by its address, and a port. */
    public record Address(String host, int port) {}

    /** Copies the addresses. */
    public PeerMessagingSettings {
        peers = Map.copyOf(peers);
    }
}
