package sprucehold.rig.plan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import sprucehold.rig.script.Script;

/**
 * The loopback addresses of one run: a block 127.B.0.0/16 that no other rig on this machine has,
 * held as long as this is open. Each gatherer meets all others at addresses of its own, by which it
 * is told apart.
 */
public final class Addresses implements AutoCloseable {
    /**
     * From 64 on, well away from the addresses that people use; 126 rigs at once are more than a
     * machine bears.
     */
    private static final int FIRST = 64;

    private static final int BLOCKS = 126;
    private static final int CLAIM_PORT = 7999;
    private static final int HOSTS_A_NET = 250;

    /** Above what is asked for by name, below the end of all ports. */
    private static final int FIRST_PORT = 10_000;

    private static final int PORTS = 55_000;

    /** 4,096 shard servers leave thirteen ports to each one's lives. */
    private static final int LIVES = PORTS / Script.MOST_SERVERS;

    /** What a gatherer needs a host of its own for. */
    private enum Role {
        LISTENS,
        TWIN,
        FINDS_SERVERS,
        FINDS_OTHERS
    }

    private final int block;
    private final ServerSocket claim;

    private Addresses(int block, ServerSocket claim) {
        this.block = block;
        this.claim = claim;
    }

    /**
     * @throws IOException if no block is free
     */
    public static Addresses claim() throws IOException {
        for (int block = FIRST; block < FIRST + BLOCKS; block++) {
            try {
                return new Addresses(
                        block,
                        new ServerSocket(
                                CLAIM_PORT, 1, InetAddress.getByName("127." + block + ".0.1")));
            } catch (IOException taken) {
                // By another rig.
            }
        }
        throw new IOException("no loopback block 127.64 to 127.189 is free: other rigs hold them");
    }

    /**
     * The hosts of gatherers follow each other from 127.B.1.1 on; 250 of each 256 are used, four by
     * each gatherer.
     */
    private String host(int gatherer, Role role) {
        int number = gatherer * Role.values().length + role.ordinal();
        return "127." + block + "." + (1 + number / HOSTS_A_NET) + "." + (1 + number % HOSTS_A_NET);
    }

    /** Where a gatherer listens. */
    public String gatherer(int number) {
        return host(number, Role.LISTENS);
    }

    public int gathererPort() {
        return 8000;
    }

    /** The port at which a gatherer hears others, at the address where it listens. */
    public int postPort() {
        return 8700;
    }

    /** Where a gatherer finds the others, each at a port of its own. */
    public String others(int gatherer) {
        return host(gatherer, Role.FINDS_OTHERS);
    }

    public int othersPort(int other) {
        return FIRST_PORT + other;
    }

    /** Where another process of a gatherer's name listens. */
    public String twin(int number) {
        return host(number, Role.TWIN);
    }

    /** Where a gatherer's discovery is. */
    public String discovery(int gatherer) {
        return host(gatherer, Role.FINDS_SERVERS);
    }

    public int discoveryPort() {
        return 8500;
    }

    /** Where a gatherer meets all shard servers, each life of each at a port of its own. */
    public String server(int gatherer) {
        return host(gatherer, Role.FINDS_SERVERS);
    }

    /**
     * @param server its number, below {@link Script#MOST_SERVERS}
     * @param life how often the server has come back; the port of a life that is long over is used
     *     again
     */
    public int serverPort(int server, int life) {
        return FIRST_PORT + server * LIVES + life % LIVES;
    }

    @Override
    public void close() throws IOException {
        claim.close();
    }
}
