package sprucehold.clients;

/**
 * Limits the work of decoding that clients cause in one pass of the event loop over its sockets. A
 * unit is one decoded head or one piece of a body. Each connection may use a few units in each
 * pass; the others are divided among the connections that have recently used any. So a client whose
 * body arrives in thousands of chunks, and hundreds of such clients, delay others by a few
 * milliseconds.
 *
 * <p>Not thread-safe.
 */
final class DecodeBudget {
    /** Units for all connections together in a pass, a few milliseconds of work. */
    static final int UNITS_PER_PASS = 2048;

    /** Units that each connection may use in a pass, however many others there are. */
    static final int MIN_UNITS = 4;

    private long pass;
    private int unitsLeft = UNITS_PER_PASS;
    private int connections;
    private int connectionsInLastPass;
    private int connectionsInPassBefore;

    /** Begins a pass, in which all connections may use units again. */
    void passBegan() {
        pass++;
        unitsLeft = UNITS_PER_PASS;
        connectionsInPassBefore = connectionsInLastPass;
        connectionsInLastPass = connections;
        connections = 0;
    }

    private int unitsPerConnection() {
        int recently = Math.max(connectionsInLastPass, connectionsInPassBefore);
        return UNITS_PER_PASS / Math.max(1, recently);
    }

    /** Creates the share of a connection. */
    Share share() {
        return new Share();
    }

    /** What one connection may use. */
    final class Share {
        private long passOfUse = -1;
        private int used;
        private boolean exhausted;

        /** Takes a unit; returns false if the connection has used its share of this pass. */
        boolean take() {
            if (passOfUse != pass) {
                passOfUse = pass;
                connections++;
                used = 0;
            }
            boolean granted = used < MIN_UNITS || (unitsLeft > 0 && used < unitsPerConnection());
            exhausted = !granted;
            if (granted) {
                used++;
                unitsLeft--;
            }
            return granted;
        }

        /** Returns whether the last unit was refused. */
        boolean isExhausted() {
            return exhausted;
        }
    }
}
