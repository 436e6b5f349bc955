package sprucehold.coordinator;

/**
 * A shard server as last told of. There is one object a name, so it can be compared by identity.
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

    void gone() {
        running = false;
    }

    public String name() {
        return name;
    }

    /** Host and port. */
    public String address() {
        return address;
    }

    /** False once the list said that it drains or is gone: nothing new may be written to it. */
    public boolean running() {
        return running;
    }

    @Override
    public String toString() {
        return name + " at " + address;
    }
}
