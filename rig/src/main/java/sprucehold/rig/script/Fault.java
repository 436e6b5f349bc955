package sprucehold.rig.script;

import java.util.List;

/**
 * One fault of a script.
 *
 * @param of targets: names, or groups such as {@code gatherers}, {@code servers@b}, {@code
 *     clients@a}, {@code discovery}, {@code @b} (all parties of a site)
 * @param to for a fault on links, the other end of the links; for {@link Kind#GREY}, the gatherers
 *     that get no answers; for {@link Kind#LIST_HIDES}, the hidden servers
 * @param some number of targets that are drawn from {@code of} by the run's seed; 0 for all
 * @param atS when the fault begins, in seconds since the start of the load; with {@code when}, in
 *     seconds since that trigger
 * @param when the trigger of the fault, or null if it begins at a fixed time
 * @param forS duration, in seconds; infinite if the fault doesn't end
 * @param amount strength of the fault, in the unit of its kind
 * @param mode for {@link Kind#CUT}, how the link is cut; for {@link Kind#LOSE_ANSWERS}, whether the
 *     connection is reset
 * @param oneWay whether a fault on links affects only the direction from {@code of} to {@code to}
 * @param tableTypes query classes whose parts get no answers, for {@link Kind#GREY}
 */
public record Fault(
        String name,
        Kind kind,
        List<String> of,
        List<String> to,
        int some,
        double atS,
        Trigger when,
        double forS,
        double amount,
        Mode mode,
        boolean oneWay,
        List<String> tableTypes) {

    /**
     * Trigger of a fault: the start of another fault, or a number of open attempts of a gatherer.
     * Exactly one of the two is given.
     *
     * @param fault name of the other fault, empty if none
     * @param gatherer name of the gatherer, empty if none
     * @param dispatchesOut number of open attempts
     */
    public record Trigger(String fault, String gatherer, int dispatchesOut) {}

    /**
     * How a link is cut, or how an answer is lost. An answer that is lost with {@link #RESET} also
     * resets the connection; with the other modes the connection stays open.
     */
    public enum Mode {
        /**
         * Nothing passes. Bytes sent meanwhile are delivered after the fault has ended, on
         * connections that are still open then.
         */
        SILENT,
        /** As {@link #SILENT}, but new connections are refused. */
        REFUSED,
        /** Open connections are reset when the fault begins, new ones at once. */
        RESET
    }

    /** The kinds of targets. */
    public enum Whom {
        GATHERER,
        LINK,
        SERVER,
        DISCOVERY
    }

    /** The kinds of faults. */
    public enum Kind {
        /** Kills a gatherer with SIGKILL, and starts it again when the fault ends. */
        KILL(Whom.GATHERER, Unit.NONE),
        /**
         * Sends SIGTERM to a gatherer. If {@code forS} is finite, it is started again {@code forS}
         * after its process has ended.
         */
        TERM(Whom.GATHERER, Unit.NONE),
        /** Stops a process with SIGSTOP, and continues it with SIGCONT when the fault ends. */
        PAUSE(Whom.GATHERER, Unit.NONE),
        /**
         * Kills a gatherer and restarts it with its wall clock off by {@code amount}. The end of
         * the fault restarts it with correct clocks. A fault at the start of the run needs no
         * restart: the process is started with the wrong clock.
         */
        CLOCK_OFF(Whom.GATHERER, Unit.MS),
        /**
         * As {@link #CLOCK_OFF}, but with a monotonic clock that runs {@code amount} parts per
         * million too fast.
         */
        CLOCK_DRIFT(Whom.GATHERER, Unit.PPM),
        /**
         * As {@link #CLOCK_OFF}, but with a wall clock that jumps by {@code amount} six seconds
         * after that restart.
         */
        CLOCK_JUMP(Whom.GATHERER, Unit.MS),
        /**
         * Starts a second process with the same name as a running gatherer, at other addresses, and
         * ends the second process after {@code forS}.
         */
        TWIN(Whom.GATHERER, Unit.NONE),
        /**
         * Sends {@code amount} datagrams per second to the address at which a gatherer receives
         * messages of other gatherers: random bytes, and earlier messages that are repeated or
         * truncated.
         */
        FLOOD(Whom.GATHERER, Unit.TIMES),
        /** Delays each message by {@code amount}, and one in twenty by four times as much. */
        DELAY(Whom.LINK, Unit.MS),
        CUT(Whom.LINK, Unit.NONE),
        /** Limits the rate to {@code amount} bytes per second. */
        RATE(Whom.LINK, Unit.BYTES),
        /** Cuts a connection once {@code amount} bytes have passed on it. */
        CUT_AFTER(Whom.LINK, Unit.BYTES),
        /**
         * Accepts connections but never delivers anything on them, even after the fault has ended.
         */
        HALF_OPEN(Whom.LINK, Unit.NONE),
        /** Loses a share of datagrams. */
        LOSE(Whom.LINK, Unit.SHARE),
        /** Delivers a share of datagrams twice. */
        DOUBLE(Whom.LINK, Unit.SHARE),
        /** Delivers a share of datagrams after the next one. */
        REORDER(Whom.LINK, Unit.SHARE),
        /** Work takes {@code amount} times as long. */
        SLOW(Whom.SERVER, Unit.TIMES),
        /**
         * The server accepts parts of some query classes, or of the gatherers in {@code to}, and
         * answers none of them.
         */
        GREY(Whom.SERVER, Unit.NONE),
        /** No work begins and no work ends. */
        STALL(Whom.SERVER, Unit.NONE),
        /** The server rejects all new parts, as if its queue were full. */
        FULL(Whom.SERVER, Unit.NONE),
        /** Loses a share of the answers after the work is done. */
        LOSE_ANSWERS(Whom.SERVER, Unit.SHARE),
        /** The endpoint list marks the server as draining, and the server rejects new parts. */
        DRAIN(Whom.SERVER, Unit.NONE),
        /** The server crashes. After {@code forS} it is back, cold and at another address. */
        DIE(Whom.SERVER, Unit.NONE),
        /** Discovery reports changes with a delay of {@code amount}. */
        LIST_LATE(Whom.DISCOVERY, Unit.MS),
        /** Discovery accepts calls and doesn't answer them. */
        LIST_SILENT(Whom.DISCOVERY, Unit.NONE),
        /** Discovery returns the list of the start of the run, with its old, lower index. */
        LIST_BACK(Whom.DISCOVERY, Unit.NONE),
        /** Discovery leaves the servers in {@code to} out of the list. */
        LIST_HIDES(Whom.DISCOVERY, Unit.NONE);

        private final Whom whom;
        private final Unit unit;

        Kind(Whom whom, Unit unit) {
            this.whom = whom;
            this.unit = unit;
        }

        public Whom whom() {
            return whom;
        }

        public Unit unit() {
            return unit;
        }
    }

    /**
     * Unit of {@code amount}: milliseconds, parts per million, bytes, a share from 0 to 1, or a
     * multiple or count.
     */
    public enum Unit {
        NONE(0, 0),
        MS(-1e9, 1e9),
        PPM(-1e5, 1e5),
        BYTES(1, 1e12),
        SHARE(0, 1),
        TIMES(1, 1e4);

        private final double min;
        private final double max;

        Unit(double min, double max) {
            this.min = min;
            this.max = max;
        }

        public boolean accepts(double amount) {
            return this == NONE ? amount == 0 : amount >= min && amount <= max;
        }

        public String range() {
            return this == NONE ? "none" : min + " to " + max;
        }
    }
}
