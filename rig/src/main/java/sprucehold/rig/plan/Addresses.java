package sprucehold.rig.plan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import sprucehold.rig.script.Script;

/**
 * The loopback addresses of one run: a block 127.B.0.0/16 that no other rig on this machine uses,
 * reserved until this object is closed. Each gatherer reaches the other gatherers and the shard
 * servers at addresses of its own, so that the address of a connection identifies the gatherer that
 * opened it.
 */
public final class Addresses implements AutoCloseable {
    /**
     * Blocks 64 to 189, away from the loopback addresses in common use. No more than 126 blocks are
     * needed, because 126 rigs at once would already overload a machine.
     */
    private static final int FIRST_BLOCK = 64;

    private static final int BLOCKS = 126;
    private static final int CLAIM_PORT = 7999;
    private static final int NET_HOSTS = 250;

    /**
     * Above the fixed ports of a run, such as {@link #messagePort}, and low enough that the last of
     * all {@code PORTS} is a valid port.
     */
    private static final int FIRST_PORT = 10_000;

    private static final int PORTS = 55_000;

    /**
     * Number of ports of each shard server, one for each of its lives: 13 with 4,096 shard servers.
     */
    private static final int PORTS_PER_SERVER = PORTS / Script.MAX_SERVERS;

    /** The purposes for which a gatherer has a loopback address of its own. */
    private enum Role {
        LISTEN,
        TWIN,
        SHARD_SERVERS,
        OTHER_GATHERERS
    }

    private final int block;
    private final ServerSocket claim;

    private Addresses(int block, ServerSocket claim) {
        this.block = block;
        this.claim = claim;
    }

    /**
     * Reserves a block by listening on a fixed port of it.
     *
     * @throws IOException if no block is free
     */
    public static Addresses claim() throws IOException {
        for (int block = FIRST_BLOCK; block < FIRST_BLOCK + BLOCKS; block++) {
            try {
                return new Addresses(
                        block,
                        new ServerSocket(
                                CLAIM_PORT, 1, InetAddress.getByName("127." + block + ".0.1")));
            } catch (IOException reservedByOther) {
                // Another rig has reserved this block.
            }
        }
        throw new IOException("no loopback block 127.64 to 127.189 is free: other rigs use them");
    }

    /**
     * Returns the address of a gatherer for one purpose. The addresses follow each other from
     * 127.B.1.1 on. Of each 256 addresses 250 are used, four by each gatherer.
     */
    private String host(int gatherer, Role role) {
        int number = gatherer * Role.values().length + role.ordinal();
        return "127." + block + "." + (1 + number / NET_HOSTS) + "." + (1 + number % NET_HOSTS);
    }

    /** Returns the address at which a gatherer listens. */
    public String gathererHost(int number) {
        return host(number, Role.LISTEN);
    }

    public int gathererPort() {
        return 8000;
    }

    /**
     * Returns the port at which a gatherer receives the messages of other gatherers, at the address
     * at which it listens.
     */
    public int messagePort() {
        return 8700;
    }

    /**
     * Returns the address at which a gatherer reaches the other gatherers, each at a port of its
     * own.
     */
    public String peersHost(int gatherer) {
        return host(gatherer, Role.OTHER_GATHERERS);
    }

    public int peerPort(int other) {
        return FIRST_PORT + other;
    }

    /** Returns the address at which a second process of the same gatherer name listens. */
    public String twinHost(int number) {
        return host(number, Role.TWIN);
    }

    /** Returns the address of a gatherer's discovery agent. */
    public String discoveryHost(int gatherer) {
        return host(gatherer, Role.SHARD_SERVERS);
    }

    public int discoveryPort() {
        return 8500;
    }

    /**
     * Returns the address at which a gatherer reaches all shard servers. Each life of each server
     * has a port of its own.
     */
    public String serversHost(int gatherer) {
        return host(gatherer, Role.SHARD_SERVERS);
    }

    /**
     * Returns the port of one life of a shard server.
     *
     * @param server number of the server, below {@link Script#MAX_SERVERS}
     * @param life how often the server has come back; a port is used again after {@code
     *     PORTS_PER_SERVER} lives
     */
    public int serverPort(int server, int life) {
        return FIRST_PORT + server * PORTS_PER_SERVER + life % PORTS_PER_SERVER;
    }

    @Override
    public void close() throws IOException {
        claim.close();
    }
}
