package sprucehold.rig.script;

import java.util.List;

/**
 * One fault of a script.
 *
 * @param of whom it befalls: names, or groups such as {@code gatherers}, {@code servers@b}, {@code
 *     clients@a}, {@code discovery}, {@code @b} (all of a site)
 * @param to the other end where it lies on links, whom a server answers no more, or which servers
 *     are hidden
 * @param some how many of {@code of}, drawn by the run's seed; 0 for all
 * @param atS when it begins, in seconds from the first scan; with {@code when}, how long after that
 * @param when what has to have happened before, or null
 * @param forS how long it lasts, in seconds; infinite where it has no end
 * @param amount how much of it, in the unit that its kind says
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
     * What a fault waits for: another's begin, or so many dispatches out from a gatherer. Exactly
     * one is given.
     */
    public record Trigger(String fault, String gatherer, int dispatchesOut) {}

    /** How a link is cut, or how an answer is lost. */
    public enum Mode {
        /**
         * Nothing passes, and what was sent passes once it is mended, as far as connections last
         * that long.
         */
        SILENT,
        /** As silent, but new connections are refused. */
        REFUSED,
        /** Connections are reset as it begins, and new ones at once. */
        RESET
    }

    /** Whom a fault may befall. */
    public enum Whom {
        GATHERER,
        LINK,
        SERVER,
        DISCOVERY
    }

    /** The kinds of faults. */
    public enum Kind {
        /** SIGKILL; started again after {@code forS} if that ends. */
        KILL(Whom.GATHERER, Unit.NONE),
        /** SIGTERM; started again {@code forS} after its end if that is finite. */
        TERM(Whom.GATHERER, Unit.NONE),
        /** SIGSTOP, and SIGCONT at the end. */
        PAUSE(Whom.GATHERER, Unit.NONE),
        /** SIGKILL and a start with the wall clock off by {@code amount}. */
        CLOCK_OFF(Whom.GATHERER, Unit.MS),
        /** The same with a counting clock that runs {@code amount} parts of a million too fast. */
        CLOCK_DRIFT(Whom.GATHERER, Unit.PPM),
        /**
         * The same with a wall clock that jumps by {@code amount}, six seconds after that start.
         */
        CLOCK_JUMP(Whom.GATHERER, Unit.MS),
        /**
         * Another process of its name, started beside it at other addresses, and ended after {@code
         * forS}.
         */
        TWIN(Whom.GATHERER, Unit.NONE),
        /**
         * So many datagrams a second where it hears other gatherers: noise, and letters of before
         * once more.
         */
        FLOOD(Whom.GATHERER, Unit.TIMES),
        /** Each message takes {@code amount} longer, one in twenty four times as much. */
        DELAY(Whom.LINK, Unit.MS),
        CUT(Whom.LINK, Unit.NONE),
        /** No more than {@code amount} bytes a second. */
        RATE(Whom.LINK, Unit.BYTES),
        /** A connection is cut once {@code amount} bytes have passed on it. */
        CUT_AFTER(Whom.LINK, Unit.BYTES),
        /** Connections come up and bring nothing, for good. */
        HALF_OPEN(Whom.LINK, Unit.NONE),
        /** A share of datagrams is lost. */
        LOSE(Whom.LINK, Unit.SHARE),
        /** A share of datagrams comes twice. */
        DOUBLE(Whom.LINK, Unit.SHARE),
        /** A share of datagrams comes after the next. */
        REORDER(Whom.LINK, Unit.SHARE),
        /** Work takes {@code amount} times as long. */
        SLOW(Whom.SERVER, Unit.TIMES),
        /**
         * It takes parts of some table types, or of the gatherers in {@code to}, and answers none.
         */
        GREY(Whom.SERVER, Unit.NONE),
        /** Nothing begins and nothing ends. */
        STALL(Whom.SERVER, Unit.NONE),
        /** Its queue takes nothing. */
        FULL(Whom.SERVER, Unit.NONE),
        /** A share of answers is lost after the work is done. */
        LOSE_ANSWERS(Whom.SERVER, Unit.SHARE),
        /** The list says so, and it turns away what is new. */
        DRAIN(Whom.SERVER, Unit.NONE),
        /** It dies; after {@code forS} it is back, cold and at another address. */
        DIE(Whom.SERVER, Unit.NONE),
        /** What it has to tell comes {@code amount} late. */
        LIST_LATE(Whom.DISCOVERY, Unit.MS),
        /** It takes calls and says nothing. */
        LIST_SILENT(Whom.DISCOVERY, Unit.NONE),
        /** It tells a list of the run's beginning, under an index that went back. */
        LIST_BACK(Whom.DISCOVERY, Unit.NONE),
        /** It hides the servers in {@code to}. */
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
     * What {@code amount} counts: milliseconds, parts of a million, bytes, a share from 0 to 1, or
     * times.
     */
    public enum Unit {
        NONE(0, 0),
        MS(-1e9, 1e9),
        PPM(-1e5, 1e5),
        BYTES(1, 1e12),
        SHARE(0, 1),
        TIMES(1, 1e4);

        private final double least;
        private final double most;

        Unit(double least, double most) {
            this.least = least;
            this.most = most;
        }

        public boolean takes(double amount) {
            return this == NONE ? amount == 0 : amount >= least && amount <= most;
        }

        public String range() {
            return this == NONE ? "none" : least + " to " + most;
        }
    }
}
