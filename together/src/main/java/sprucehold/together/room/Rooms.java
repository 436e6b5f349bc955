package sprucehold.together.room;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.port.Bound;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Listing;
import sprucehold.port.Others;
import sprucehold.together.share.Permit;
import sprucehold.together.share.ShareTerms;
import sprucehold.together.talk.Talk;

/**
 * The shared bounds of one gatherer as its decisions see them. A cold server's bound comes up with
 * the news of its start and goes once it is surely warm. All times are a reading of the clock that
 * counts and one of the wall's, in milliseconds.
 */
public final class Rooms {
    /**
     * How long a loan lasts: eight looks, so that asking again costs little, and what a dead one
     * held is back in four seconds.
     */
    static final double TERM_MS = 2000;

    /** A customer's share is stated by the second. */
    private static final double CUSTOMER_WINDOW_MS = 1000;

    /**
     * Rates of what comes in count half after so long: the demand of the last second or two is what
     * is to be met.
     */
    private static final double RATE_HALF_MS = 1000;

    /** Below so much others' evidence is no reason for a new word. */
    private static final double LEAST_TROUBLE = 0.25;

    /** A rate that fades. */
    private static final class Rate {
        private double sum;
        private double atMs;

        void add(double nowMs, double what) {
            sum = sum * Math.pow(0.5, (nowMs - atMs) / RATE_HALF_MS) + what;
            atMs = nowMs;
        }

        double perS(double nowMs) {
            return sum
                    * Math.pow(0.5, (nowMs - atMs) / RATE_HALF_MS)
                    * Math.log(2)
                    * 1000
                    / RATE_HALF_MS;
        }
    }

    private static final class Server {
        Listing listing;

        /** When this life first heard of this start, by the counting clock. */
        double heardAt;

        /** Null while it isn't cold, or that isn't shared. */
        Growth growth;

        String bound() {
            return Bound.Kind.COLD + " " + listing.server() + "@" + (long) listing.startedAtMs();
        }
    }

    private final Deployment facts;
    private final RoomTerms terms;
    private final Talk talk;
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<String, Rate> byCustomer = new TreeMap<>();
    private final Rate[] byCell;

    /** The work of a part, in milliseconds, as the decisions take it. */
    private double pieceMs;

    private Map<String, Double> trouble = Map.of();

    public Rooms(Deployment facts, RoomTerms terms, Talk talk, double countedMs, double wallMs) {
        this.facts = facts;
        this.terms = terms;
        this.talk = talk;
        this.byCell = new Rate[facts.layout().cells()];
        Arrays.setAll(byCell, cell -> new Rate());
        // As the decisions do, before they have seen any part's time.
        this.pieceMs =
                facts.tableTypes().stream()
                        .mapToDouble(type -> type.targetMs() / 4)
                        .min()
                        .orElse(1);
        if (terms.shared().contains(Bound.Kind.FURTHER)) {
            begin(
                    countedMs,
                    wallMs,
                    name(Bound.FURTHER),
                    terms.further(),
                    terms.furtherWindowMs(),
                    true);
        }
        if (terms.shared().contains(Bound.Kind.CUSTOMER)) {
            facts.customers()
                    .forEach(
                            customer ->
                                    begin(
                                            countedMs,
                                            wallMs,
                                            name(Bound.customer(customer.name())),
                                            (int) customer.scansPerSecond(),
                                            CUSTOMER_WINDOW_MS,
                                            true));
        }
    }

    private static String name(Bound bound) {
        return bound.of().isEmpty() ? bound.kind().name() : bound.kind() + " " + bound.of();
    }

    /**
     * @param keeps whether a part of the home is never lent, for who comes back or hears nothing to
     *     go on with at once
     */
    private void begin(
            double countedMs,
            double wallMs,
            String bound,
            int units,
            double windowMs,
            boolean keeps) {
        int home = terms.home(bound, units);
        talk.begin(
                countedMs,
                wallMs,
                bound,
                new ShareTerms(
                        home,
                        keeps ? home / 4 : 0,
                        windowMs,
                        terms.patienceMs(),
                        TERM_MS,
                        terms.drift()));
    }

    // ---- Cold servers ----

    /** News of shard servers, before the decisions hear of them. */
    public void listed(double countedMs, double wallMs, boolean complete, List<Listing> news) {
        if (complete) {
            var named = news.stream().map(Listing::server).toList();
            List.copyOf(servers.values()).stream()
                    .filter(server -> !named.contains(server.listing.server()))
                    .forEach(this::gone);
        }
        for (Listing listing : news) {
            Server server = servers.get(listing.server());
            if (listing.mode() == Listing.Mode.GONE) {
                if (server != null) {
                    gone(server);
                }
                continue;
            }
            if (server == null || server.listing.startedAtMs() != listing.startedAtMs()) {
                if (server != null) {
                    gone(server);
                }
                server = new Server();
                server.heardAt = countedMs;
                servers.put(listing.server(), server);
            }
            server.listing = listing;
            if (server.growth == null
                    && terms.shared().contains(Bound.Kind.COLD)
                    && share(countedMs, wallMs, server) < 1) {
                var rule = facts.coldRule();
                server.growth =
                        new Growth((rule.windowMs() + terms.patienceMs()) * (1 + terms.drift()));
                begin(
                        countedMs,
                        wallMs,
                        server.bound(),
                        units(rule.startShare()),
                        rule.windowMs(),
                        false);
            }
        }
    }

    private void gone(Server server) {
        warm(server);
        servers.remove(server.listing.server());
    }

    private void warm(Server server) {
        if (server.growth != null) {
            server.growth = null;
            talk.end(server.bound());
        }
    }

    /**
     * Milliseconds of work that a cold server may be sent in a window: one core is the least that a
     * server has.
     */
    private int units(double share) {
        var rule = facts.coldRule();
        return (int) (rule.multiple() * share * rule.windowMs());
    }

    /**
     * The share of its work that a server can surely do by now. It started before its start was
     * heard of; what wall clocks say beyond that counts less by what they may be apart.
     */
    private double share(double countedMs, double wallMs, Server server) {
        double startedAt = server.listing.startedAtMs();
        double age =
                Math.max(countedMs - server.heardAt, wallMs - startedAt - terms.clocksOffMs())
                        * (1 - terms.drift());
        var rule = facts.coldRule();
        double warmth = Math.min(1, Math.max(0, age) / rule.warmAfterMs());
        return startedAt <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmth;
    }

    /** This gatherer's part of what the bound has grown by. */
    private int grown(double countedMs, double wallMs, Server server) {
        int more = units(share(countedMs, wallMs, server)) - units(facts.coldRule().startShare());
        return more / terms.fleet().size();
    }

    // ---- What happens ----

    /** A scan came in. */
    public void taken(double countedMs, String customer, List<Integer> segments) {
        if (customer != null) {
            byCustomer.computeIfAbsent(customer, none -> new Rate()).add(countedMs, 1);
        }
        for (int segment : segments) {
            for (int j = 0; j < facts.layout().reach(); j++) {
                byCell[Math.floorMod(segment + j, byCell.length)].add(countedMs, 1);
            }
        }
    }

    /** A dispatch to a server was written. */
    public void sent(double countedMs, double wallMs, String server) {
        talk.counted(countedMs, wallMs, server, 1);
    }

    /** A dispatch to a server ended, well or with what may be the server's fault. */
    public void ended(double countedMs, double wallMs, String server, boolean well) {
        Server known = servers.get(server);
        if (known != null) {
            talk.saw(
                    countedMs,
                    wallMs,
                    server,
                    known.listing.zone(),
                    known.listing.startedAtMs(),
                    well);
        }
    }

    /**
     * Takes units of a bound.
     *
     * @return null, with nothing sent to be, if they aren't free; an empty leave where the bound
     *     isn't shared
     */
    public Leave use(double countedMs, double wallMs, Bound bound, int units) {
        var permits = new ArrayList<Permit>();
        int left = units;
        String name = name(bound);
        if (bound.kind() == Bound.Kind.COLD) {
            Server server = servers.get(bound.of());
            if (server == null || server.growth == null) {
                return new Leave(List.of());
            }
            pieceMs += 0.1 * (units - pieceMs);
            name = server.bound();
            int own =
                    Math.min(left, server.growth.free(countedMs, grown(countedMs, wallMs, server)));
            if (left - own > talk.free(countedMs, wallMs, name)) {
                return null;
            }
            if (own > 0) {
                server.growth.use(countedMs, own);
                permits.add(
                        talk.permit(countedMs, wallMs, terms.patienceMs() * (1 - terms.drift())));
                left -= own;
            }
        } else if (!terms.shared().contains(bound.kind())
                || bound.kind() == Bound.Kind.CUSTOMER
                        && facts.customers().stream().noneMatch(c -> c.name().equals(bound.of()))) {
            return new Leave(List.of());
        }
        if (left > 0) {
            Permit permit = talk.use(countedMs, wallMs, name, left);
            if (permit == null) {
                return null;
            }
            permits.add(permit);
        }
        return new Leave(permits);
    }

    /** Whether it may be written now; to be asked right before. */
    public boolean holds(double countedMs, double wallMs, Leave leave) {
        return leave.permits().stream().allMatch(permit -> talk.holds(countedMs, wallMs, permit));
    }

    // ---- What is told ----

    /** Looks at what is wanted, and at what others saw; a few times a second. */
    public void tick(double countedMs, double wallMs) {
        var found = new HashMap<String, Double>();
        for (Server server : servers.values()) {
            if (server.growth != null && share(countedMs, wallMs, server) >= 1) {
                warm(server);
            }
            if (server.growth != null) {
                int holders =
                        (int)
                                servers.values().stream()
                                        .filter(
                                                other ->
                                                        other.listing.cell()
                                                                        == server.listing.cell()
                                                                && other.listing.mode()
                                                                        == Listing.Mode.RUNNING)
                                        .count();
                double partsPerS = byCell[server.listing.cell()].perS(countedMs);
                // One part at the least where any comes in: a segment's last holders are never all
                // left aside.
                double parts =
                        partsPerS < 0.1 || server.listing.mode() != Listing.Mode.RUNNING
                                ? 0
                                : Math.max(
                                        1,
                                        partsPerS
                                                * facts.coldRule().windowMs()
                                                / 1000
                                                / Math.max(1, holders));
                talk.want(
                        server.bound(), (int) Math.ceil(parts * pieceMs), (int) Math.ceil(pieceMs));
            }
            double seen =
                    talk.opinion(
                                    countedMs,
                                    wallMs,
                                    server.listing.server(),
                                    server.listing.startedAtMs())
                            .trouble();
            if (seen >= LEAST_TROUBLE) {
                // In tenths: a new word for each thousandth would tell nobody anything.
                found.put(server.listing.server(), Math.round(10 * seen) / 10.0);
            }
        }
        trouble = Map.copyOf(found);
        byCustomer.forEach(
                (customer, rate) ->
                        talk.want(
                                name(Bound.customer(customer)),
                                (int)
                                        Math.ceil(
                                                1.25
                                                        * rate.perS(countedMs)
                                                        * CUSTOMER_WINDOW_MS
                                                        / 1000),
                                1));
        if (terms.shared().contains(Bound.Kind.FURTHER)) {
            Talk.Held held = talk.held(countedMs, wallMs, name(Bound.FURTHER));
            // Refusals aren't seen here: who has used up all that it holds is taken to want as much
            // again.
            talk.want(
                    name(Bound.FURTHER),
                    held.free() == 0 ? 2 * held.used() + 1 : (int) Math.ceil(1.25 * held.used()),
                    1);
        }
    }

    /** What the decisions are to know now. */
    public Others others(double countedMs, double wallMs) {
        var room = new HashMap<Bound, Integer>();
        for (Server server : servers.values()) {
            if (server.growth != null) {
                room.put(
                        Bound.cold(server.listing.server()),
                        talk.free(countedMs, wallMs, server.bound())
                                + server.growth.free(countedMs, grown(countedMs, wallMs, server)));
            }
        }
        if (terms.shared().contains(Bound.Kind.CUSTOMER)) {
            for (Customer customer : facts.customers()) {
                Bound bound = Bound.customer(customer.name());
                room.put(bound, talk.free(countedMs, wallMs, name(bound)));
            }
        }
        if (terms.shared().contains(Bound.Kind.FURTHER)) {
            room.put(Bound.FURTHER, talk.free(countedMs, wallMs, name(Bound.FURTHER)));
        }
        return new Others(talk.there() + 1, room, trouble);
    }
}
