package sprucehold.coordinator;

/**
 * A shard server as discovery last told of it. There is one object for a name while the name is
 * listed, so it can be compared by identity. Not safe for threads.
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

    /** Its name in the endpoint list. */
    public String name() {
        return name;
    }

    /** Host and port. */
    public String address() {
        return address;
    }

    /** False once discovery told that it drains or is gone: nothing new may be written to it. */
    public boolean running() {
        return running;
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
