package sprucehold.messaging;

import java.util.Map;

/**
 * Settings of peer messaging.
 *
 * @param self name of this gatherer
 * @param host address on which this gatherer listens, for datagrams and for TCP connections
 * @param port port for datagrams and for TCP connections
 * @param peers address of each other gatherer, by name
 * @param bytesPerSecond maximum number of bytes sent per second. Messages beyond it are dropped,
 *     which is allowed because the network may lose messages anyway.
 */
public record PeerMessagingSettings(
        String self, String host, int port, Map<String, Address> peers, double bytesPerSecond) {
    /** Host address and port. */
    public record Address(String host, int port) {}

    /** Copies the map of peers. */
    public PeerMessagingSettings {
        peers = Map.copyOf(peers);
    }
}
