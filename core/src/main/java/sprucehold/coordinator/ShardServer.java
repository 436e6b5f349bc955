package sprucehold.coordinator;

/**
 * Shard server in the state last reported by discovery. As long as a name is listed there is
 * exactly one object for it, so shard servers can be compared by identity. Not thread-safe.
 */
public final class ShardServer {
    private final String name;
    private String address;
    private boolean running;

    ShardServer(String name) {
        this.name = name;
    }

    void update(String newAddress, boolean isRunning) {
        this.address = newAddress;
        this.running = isRunning;
    }

    void markGone() {
        running = false;
    }

    /** Returns the name of the shard server in the endpoint list. */
    public String name() {
        return name;
    }

    /** Returns the host and port of the shard server. */
    public String address() {
        return address;
    }

    /**
     * Returns whether new parts may be sent. False if discovery last reported the shard server as
     * draining or gone, or left it out of a complete endpoint list.
     */
    public boolean isRunning() {
        return running;
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
