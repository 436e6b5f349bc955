package sprucehold.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.SkippedReplica;
import sprucehold.decision.Tenant;

/**
 * All decisions of one gatherer. It is called through {@link #decide}, the one entry point: what
 * happened goes in, what is to be done comes out. The interface is the package {@link
 * sprucehold.decision}.
 *
 * <p>The design (docs/design.md) decides the ordinary path: rounds, their width, the position rule.
 * Beside it, six mechanisms:
 *
 * <ol>
 *   <li>set-aside: a late shard server has fewer parts out, one that fails in a row none, then a
 *       few more;
 *   <li>cold budget: a server that has just started is sent this gatherer's part of its limit, or
 *       by lot;
 *   <li>list following: nothing goes to a server reported draining or gone; the list is asked for
 *       if need be;
 *   <li>further dispatches: other tries and second copies, within what table type, limits and
 *       budget allow;
 *   <li>throttling: scans that would come to nothing are turned away as they arrive;
 *   <li>endings: when a scan is answered, and when it is given up.
 * </ol>
 */
public final class QueryScheduler implements DecisionPolicy {
    private Deployment deployment;
    private final Random chance;

    /**
     * More gatherers than a server's usual room: rooms of one each overfill it, and only its times
     * tell.
     */
    private boolean crowded;

    private ClusterView clusterView = ClusterView.NONE;

    /** What is left of what others told, by shared bound. */
    private Map<SharedLimit, Integer> room = new HashMap<>();

    private double now, lookAgainAt, lookedAt;
    private List<Command> todo = new ArrayList<>();

    private final Map<String, Scan> scansById = new HashMap<>();
    private final Map<Long, Scan> scansByNumber = new LinkedHashMap<>();
    private final Map<String, Part> partsById = new HashMap<>();

    /** Scans not begun and parts not sent because their servers have no room yet. */
    private final List<Scan> waiting = new ArrayList<>();

    private final List<Part> waitingParts = new ArrayList<>();
    private final Map<String, Srv> srvsById = new TreeMap<>();

    /** The listed servers of each cell, in the order of their ids: the same at every gatherer. */
    private final List<List<Srv>> cells = new ArrayList<>();

    private final Map<String, Times> timesByType = new HashMap<>();
    private final Map<Tenant, Double> allowances = new HashMap<>();
    private final Map<Tenant, Double> brokenUntil = new HashMap<>();

    private final PriorityQueue<Alarm> alarms =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Alarm::at).thenComparingLong(Alarm::turn));
    private long alarmsSet;
    private double wakeAt = Double.POSITIVE_INFINITY;

    /**
     * The design's estimate. It starts at one, so that a first scan isn't asked in full for
     * nothing.
     */
    private double servedShare = 1;

    private record Alarm(double at, long turn, Runnable task) {}

    private static final class Scan {
        final Event.QueryReceived taken;
        QueryClass type;
        final double takenAt, endsAt;
        List<Part> parts = new ArrayList<>();
        List<Round> rounds = new ArrayList<>();
        int position;
        boolean overShare, counted, admitted, secondStep, over;

        Scan(Event.QueryReceived taken, double now, double endsAt) {
            this.taken = taken;
            this.type = taken.queryClass();
            this.takenAt = now;
            this.endsAt = endsAt;
        }

        double targetAt() {
            return takenAt + type.latencyObjectiveMs();
        }

        /** Parts that make the answer whole; widths go by count, wholeness by weight. */
        int needed() {
            return secondStep
                    ? parts.size()
                    : (int) Math.ceil(type.completeCoverage() * parts.size() - 1e-6);
        }

        /** The share of the weight below which no answer may be given. */
        double least() {
            return secondStep && type.minimumCoverage() >= type.completeCoverage()
                    ? 1
                    : type.minimumCoverage();
        }

        int completed() {
            return (int) parts.stream().filter(p -> p.completed).count();
        }

        double completedWeight() {
            return parts.stream().filter(p -> p.completed).mapToDouble(p -> p.weight).sum();
        }

        List<Part> unsent() {
            return parts.stream().filter(p -> p.round == null).toList();
        }
    }

    private static final class Part {
        final String id;
        final Scan scan;
        final int segment;
        final double weight;
        final List<Sent> sent = new ArrayList<>();
        Round round;
        boolean completed, mayHaveRun, broken, past;

        Part(Event.PartReceived taken, Scan scan) {
            this.id = taken.id();
            this.scan = scan;
            this.segment = taken.shard();
            this.weight = taken.weight();
        }

        boolean isOut() {
            return sent.stream().anyMatch(s -> s.out);
        }
    }

    /**
     * The parts that one round asked for; it ends when all are settled or its timer has run out.
     */
    private static final class Round {
        final List<Part> parts = new ArrayList<>();
        int inTime, calledOff;
        boolean over, timerOver;
    }

    private static final class Sent {
        final Part part;
        final int number;
        final Srv srv;
        final double at;
        boolean out = true, overdue, calledOff;

        Sent(Part part, Srv srv, double at) {
            this.part = part;
            this.number = part.sent.size();
            this.srv = srv;
            this.at = at;
        }
    }

    private static final class Srv {
        final String id;
        int cell;
        String zone;
        double startedAt, roomCutAt, failedAt, asideUntil, asideMs, lotUntil;
        boolean running, lotWon;
        final List<Sent> out = new ArrayList<>();

        /** Failures, and dispatches that became overdue, since a part last completed in time. */
        int failuresInRow;

        double room = USUAL_ROOM;
        double answeredAt = Double.NEGATIVE_INFINITY;

        /** When the latest part that it has answered went out. */
        double answeredOfAt = Double.NEGATIVE_INFINITY;

        final ArrayDeque<double[]> coldSends = new ArrayDeque<>();

        /**
         * Four out at once: a small server's cores and as many waiting, to grow and shrink from.
         */
        static final double USUAL_ROOM = 4;

        Srv(String id) {
            this.id = id;
        }
    }

    /**
     * Times as a histogram: each bin is 1.6 times as wide as the one before, coarse but never far
     * off.
     */
    private static final class Times {
        private static final int BINS = 18;
        private final double[] counts = new double[BINS];
        private final int keep;
        private double total;

        Times(int keep) {
            this.keep = keep;
        }

        void add(double ms) {
            int bin = (int) Math.ceil(Math.log(Math.max(ms, 10) / 10) / Math.log(1.6));
            counts[Math.min(bin, BINS - 1)]++;
            if (++total >= keep) {
                halve();
            }
        }

        void halve() {
            total = 0;
            for (int i = 0; i < BINS; i++) {
                total += counts[i] /= 2;
            }
        }

        /**
         * The upper edge of the bin in which this share is reached; {@code unknown} if times are
         * too few.
         */
        double quantile(double share, double unknown) {
            // Twelve times tell a quantile well enough for a bin this wide.
            if (total < 12) {
                return unknown;
            }
            double sum = 0;
            for (int i = 0; i < BINS; i++) {
                sum += counts[i];
                if (sum >= share * total) {
                    return 10 * Math.pow(1.6, i);
                }
            }
            return 10 * Math.pow(1.6, BINS - 1);
        }
    }

    public QueryScheduler(long seed, Deployment deployment) {
        this.chance = new Random(seed);
        this.crowded = deployment.gatherers() > Srv.USUAL_ROOM;
        for (int i = 0; i < deployment.layout().replicaGroups(); i++) {
            cells.add(new ArrayList<>());
        }
        change(deployment);
    }

    /**
     * Scans taken from now on go by these facts; open ones keep theirs, but where a part may run
     * less.
     */
    private void change(Deployment next) {
        deployment = next;
        // 200: some ten seconds of a quiet gatherer's parts.
        deployment
                .queryClasses()
                .forEach(type -> timesByType.putIfAbsent(type.name(), new Times(200)));
        allowances.keySet().retainAll(deployment.tenants());
        deployment.tenants().forEach(tenant -> allowances.putIfAbsent(tenant, 4.0));
        scansByNumber
                .values()
                .forEach(scan -> scan.type = scan.type.restrictedBy(deployment.queryClasses()));
    }

    @Override
    public List<Command> decide(double nowMs, List<Event> events) {
        now = nowMs;
        todo = new ArrayList<>();
        for (Event event : events) {
            if (event instanceof Event.QueryReceived taken) {
                take(taken);
                takenAt.add(now);
            } else if (event instanceof Event.PartReceived taken) {
                take(taken);
            } else if (event instanceof Event.AttemptEnded ended) {
                dispatchEnded(ended);
            } else if (event instanceof Event.ClientDisconnected left
                    && scansById.containsKey(left.queryId())) {
                close(scansById.get(left.queryId()), Reason.CLIENT_DISCONNECTED);
            } else if (event instanceof Event.EndpointsUpdated list) {
                listReceived(list);
            } else if (event instanceof Event.EndpointsUnavailable) {
                listUnavailable();
            } else if (event instanceof Event.ClusterViewChanged told) {
                clusterView = told.view();
                crowded =
                        (clusterView.gatherers() > 0
                                        ? clusterView.gatherers()
                                        : deployment.gatherers())
                                > Srv.USUAL_ROOM;
                room = new HashMap<>(clusterView.allowances());
            } else if (event instanceof Event.DeploymentChanged changed) {
                change(changed.deployment());
            }
        }
        while (!takenAt.isEmpty() && takenAt.peek() <= now - deployment.retryBudget().windowMs()) {
            takenAt.poll();
        }
        wakeAt = wakeAt <= now ? Double.POSITIVE_INFINITY : wakeAt;
        while (!alarms.isEmpty() && alarms.peek().at <= now) {
            alarms.poll().task.run();
        }
        sendWaitingParts();
        sendCopies();
        // What brings most for each part it needs goes first where there isn't room for all.
        waiting.sort(
                Comparator.comparingDouble(scan -> -benefit(scan) / Math.max(1, scan.needed())));
        startWaiting();
        if (!alarms.isEmpty() && alarms.peek().at < wakeAt) {
            wakeAt = alarms.peek().at;
            todo.add(new Command.ScheduleWakeUp(Math.max(wakeAt - now, 0)));
        }
        return todo;
    }

    private void at(double time, Runnable task) {
        alarms.add(new Alarm(time, alarmsSet++, task));
    }

    // ---- The design: rounds, width, position ----

    private void take(Event.QueryReceived taken) {
        // Three ticks ahead of the client's own end: one to be woken late, one for the way, one to
        // spare.
        double endsAt = now + Math.max(0, taken.timeLeftMs() - 3 * deployment.tickMs());
        var scan = new Scan(taken, now, endsAt);
        scansById.put(taken.id(), scan);
        scansByNumber.put(taken.number(), scan);
        at(endsAt, () -> end(scan, Reason.DEADLINE));
        // An answer in part earns more in time than a whole one late.
        at(
                Math.min(endsAt, scan.targetAt() - 3 * deployment.tickMs()),
                () -> {
                    if (mayAnswer(scan)) {
                        end(scan, Reason.LATENCY_OBJECTIVE);
                    }
                });
    }

    private void take(Event.PartReceived taken) {
        takenAt.add(now);
        Scan scan = scansByNumber.get(taken.queryNumber());
        if (scan == null) {
            // Its scan has ended, as when a second step's parts come after the client's time is
            // over.
            return;
        }
        var part = new Part(taken, scan);
        scan.parts.add(part);
        partsById.put(part.id, part);
        if (!waiting.contains(scan)) {
            waiting.add(scan);
        }
    }

    private void startWaiting() {
        int inVain = 0;
        boolean all = now >= lookedAt + deployment.tickMs();
        lookedAt = all ? now : lookedAt;
        for (var scans = waiting.iterator(); scans.hasNext(); ) {
            Scan scan = scans.next();
            // A quarter of the target time leaves half for a round and some to spare for a further
            // dispatch.
            double patience =
                    Math.min(scan.type.latencyObjectiveMs(), scan.endsAt - scan.takenAt) / 4;
            boolean patient = scan.secondStep || now < scan.takenAt + patience;
            // Once a tick, and after two in vain no more: waiting mustn't cost more than serving.
            boolean look = all || !scan.counted || scan.secondStep;
            if (!scan.over && patient && inVain < 2 && look && !start(scan)) {
                inVain++;
            } else if (!scan.over && !patient) {
                throttle(scan, scan.overShare ? Reason.OVER_QUOTA : Reason.NO_CAPACITY);
            }
            if (scan.over || scan.admitted || scan.secondStep) {
                scans.remove();
            }
        }
        // At the most a gatherer may hold, the next scan is lost unseen: rather the one that brings
        // least.
        int open = waiting.isEmpty() ? 0 : scansByNumber.size() + partsById.size();
        while (!waiting.isEmpty() && open > 0.9 * deployment.limits().maxOpen()) {
            Scan least = waiting.remove(waiting.size() - 1);
            open -= 1 + least.parts.size();
            throttle(least, Reason.LOWEST_PRIORITY);
        }
    }

    /** Starts a scan unless it has to wait for room; false if it does. */
    private boolean start(Scan scan) {
        if (!scan.secondStep && !scan.admitted) {
            Admission admission = admit(scan);
            if (admission != Admission.NOW) {
                return admission == Admission.NEVER;
            }
            scan.admitted = true;
        }
        if (scan.secondStep) {
            scan.position = choosePosition(scan);
        }
        int k = scan.parts.size();
        // The document cuts the estimate by a tenth, so that a first round is more often enough.
        double estimate = 0.9 * servedShare;
        int width = estimate <= 0 ? 1 : (int) Math.ceil(scan.needed() / estimate - 1e-9);
        // One part, as for an estimate of zero, where a scan of this customer lately broke all its
        // connections: guards servers against scans that bring them down, at the price of a part's
        // time.
        if (now < brokenUntil.getOrDefault(scan.taken.tenant(), 0.0) && !scan.secondStep) {
            width = 1;
        }
        sendRound(scan, Math.max(1, Math.min(k, width)), Reason.FIRST_ROUND);
        return true;
    }

    private int choosePosition(Scan scan) {
        int positions =
                scan.parts.stream().mapToInt(p -> holders(p.segment).size()).max().orElse(0);
        int best = 0, equals = 0;
        double least = Double.POSITIVE_INFINITY;
        for (int position = 0; position < positions; position++) {
            int wanted = position;
            double load =
                    scan.parts.stream()
                            .map(p -> choose(p, wanted))
                            .filter(Objects::nonNull)
                            .distinct()
                            .mapToDouble(this::load)
                            .sum();
            if (load < least) {
                least = load;
                best = position;
                equals = 1;
            } else if (load == least && chance.nextInt(++equals) == 0) {
                // Equal positions are told apart by chance, so that gatherers don't all take the
                // first.
                best = position;
            }
        }
        return best;
    }

    /**
     * This gatherer's parts out at a server, by call where shared; who fails fast mustn't look
     * idle.
     */
    private double load(Srv srv) {
        boolean shared = deployment.layout().partsPerCall() > 1 && srv.out.size() > 1;
        double out =
                shared
                        ? srv.out.stream().mapToDouble(s -> s.at).distinct().count()
                        : srv.out.size();
        return out + srv.failuresInRow + (inTrouble(srv) ? 1 : 0);
    }

    private void sendRound(Scan scan, int width, Reason reason) {
        var round = new Round();
        scan.rounds.add(round);
        // Parts whose server has least to do go first: the ones left out are those likely to be
        // late.
        List<Part> unsent = new ArrayList<>(scan.unsent());
        unsent.sort(
                Comparator.comparingDouble(
                        part -> {
                            Srv srv = choose(part, scan.position);
                            return srv == null ? Double.POSITIVE_INFINITY : load(srv);
                        }));
        long underWay = scan.parts.stream().filter(p -> p.completed || p.isOut()).count();
        for (Part part : unsent.subList(0, Math.min(width, unsent.size()))) {
            Srv srv = choose(part, scan.position);
            // What a round asks for beyond the need doesn't queue at a server half of whose room is
            // used:
            // others may need it more, as when one cell has lost servers. It waits for a later
            // round.
            boolean busy =
                    srv == null || outOfOthers(srv, scan) > 0 && srv.out.size() >= srv.room / 2;
            if (busy && underWay >= scan.needed()) {
                break;
            }
            part.round = round;
            round.parts.add(part);
            send(part, srv, reason);
            underWay++;
        }
        at(now + scan.type.latencyObjectiveMs() / 2, () -> roundTimer(scan, round));
    }

    private void roundTimer(Scan scan, Round round) {
        round.timerOver = true;
        int counted = round.parts.size() - round.calledOff;
        if (counted > 0) {
            // The design's trial weight, taken once a round.
            servedShare += 0.1 * ((double) round.inTime / counted - servedShare);
        }
        endRound(scan, round);
    }

    private void endRound(Scan scan, Round round) {
        List<Part> unsent = scan.unsent();
        if (round.over || scan.over || unsent.isEmpty()) {
            return;
        }
        round.over = true;
        int completed = scan.completed();
        int width = unsent.size();
        boolean empty = round.parts.stream().noneMatch(p -> p.completed);
        if (!empty) {
            double share = (double) completed / (scan.parts.size() - unsent.size());
            width =
                    (int)
                            Math.max(
                                    1,
                                    Math.min(
                                            width,
                                            Math.round((scan.needed() - completed) / share)));
        }
        sendRound(scan, width, empty ? Reason.ROUND_AFTER_EMPTY : Reason.LATER_ROUND);
    }

    // ---- Which holder ----

    /** A segment's listed holders in a fixed order; a position is an index into it. */
    private List<Srv> holders(int segment) {
        if (deployment.layout().groupsPerShard() == 1) {
            return cells.get(Math.floorMod(segment, cells.size()));
        }
        var all = new ArrayList<Srv>();
        for (int j = 0; j < deployment.layout().groupsPerShard(); j++) {
            all.addAll(cells.get(Math.floorMod(segment + j, cells.size())));
        }
        return all;
    }

    /**
     * The holder at the position, or if it may not be used the least loaded other; null if none
     * may.
     */
    private Srv choose(Part part, int position) {
        List<Srv> holders = holders(part.segment);
        if (holders.isEmpty()) {
            return null;
        }
        Srv wanted = holders.get(position % holders.size());
        if (!mayUse(wanted, part)) {
            return leastLoaded(part);
        }
        // A part leaves a server that failed lately for one that didn't: each of many gatherers
        // meets a
        // server too seldom for three failures in a row. Guards against silent, slow and cut-off
        // servers.
        if (suspect(wanted)) {
            Srv other = leastLoaded(part);
            return other == null || suspect(other) ? wanted : other;
        }
        return wanted;
    }

    private Srv leastLoaded(Part part) {
        Srv best = null;
        Srv lastResort = null;
        boolean allAside = true;
        for (Srv srv : holders(part.segment)) {
            allAside &= !srv.running || now < srv.asideUntil;
            if (part.sent.stream().anyMatch(s -> s.srv == srv)) {
                continue;
            }
            if (mayUse(srv, part)) {
                best = best == null || load(srv) < load(best) ? srv : best;
            } else if (srv.running && coldRoom(srv, part) && srv.out.isEmpty()) {
                lastResort = lastResort == null || load(srv) < load(lastResort) ? srv : lastResort;
            }
        }
        // A segment's last holders are never all ruled out: they get a part at a time.
        return best == null && allAside ? lastResort : best;
    }

    private boolean mayUse(Srv srv, Part part) {
        return srv.running
                && now >= srv.asideUntil
                && hasRoom(srv, part.scan)
                && coldRoom(srv, part);
    }

    private boolean hasRoom(Srv srv, Scan scan) {
        // A scan beyond its customer's share gets only half the room, what it brings being so much
        // less.
        // A round is never split for room: the scan's own parts don't count.
        return outOfOthers(srv, scan) < Math.max(1, scan.overShare ? srv.room / 2 : srv.room);
    }

    /**
     * Whom a part was kept from, and why. Decides nothing: lots that it asks for were drawn this
     * moment.
     */
    private List<SkippedReplica> passedOver(Part part, Srv chosen) {
        List<Srv> holders = holders(part.segment);
        if (part.sent.isEmpty() && holders.get(part.scan.position % holders.size()) == chosen) {
            return List.of();
        }
        var passed = new ArrayList<SkippedReplica>(holders.size());
        for (Srv srv : holders) {
            SkippedReplica.Cause cause =
                    !srv.running
                            ? SkippedReplica.Cause.DRAINING
                            : part.sent.stream().anyMatch(s -> s.srv == srv)
                                    ? SkippedReplica.Cause.ALREADY_TRIED
                                    : now < srv.asideUntil
                                            ? SkippedReplica.Cause.EJECTED
                                            : !hasRoom(srv, part.scan)
                                                    ? SkippedReplica.Cause.AT_CONCURRENCY_LIMIT
                                                    : !coldRoom(srv, part)
                                                            ? SkippedReplica.Cause
                                                                    .AT_SLOW_START_BUDGET
                                                            : suspect(srv)
                                                                    ? SkippedReplica.Cause.SUSPECT
                                                                    : null;
            if (srv != chosen && cause != null) {
                passed.add(new SkippedReplica(srv.id, cause));
            }
        }
        return passed;
    }

    /** The share of each zone's parts that was late: trouble on the way there shows in a second. */
    private final Map<String, Double> lateByZone = new TreeMap<>();

    private boolean suspect(Srv srv) {
        // Five seconds for each failure: about as long as a quiet gatherer takes to meet a server
        // again.
        boolean lately = now < srv.failedAt + 5000 * Math.min(4, srv.failuresInRow);
        return srv.failuresInRow > 0 && lately || inTrouble(srv);
    }

    /** Most parts of its zone are late, or others say that it is in trouble. */
    private boolean inTrouble(Srv srv) {
        double told = clusterView.failureScores().getOrDefault(srv.id, 0.0);
        return Math.max(lateByZone.getOrDefault(srv.zone, 0.0), told) > 0.5;
    }

    private static long outOfOthers(Srv srv, Scan scan) {
        return srv.out.stream().filter(s -> s.part.scan != scan).count();
    }

    // ---- Set-aside ----

    private void failed(Srv srv, boolean unreachable) {
        srv.failuresInRow++;
        srv.failedAt = now;
        // Three in a row: one may be chance, two a pause; one that can't be reached is down or full
        // at once.
        if ((srv.failuresInRow >= 3 || unreachable) && now >= srv.asideUntil) {
            // A second at first, twice as long each time it comes to nothing, up to four.
            srv.asideMs = Math.min(4000, Math.max(1000, 2 * srv.asideMs));
            srv.asideUntil = now + srv.asideMs;
            srv.room = 1;
        }
    }

    /** A part is late there: too much is out at the server, whoever sent it. */
    private void late(Srv srv) {
        // Once for what was out together, by three tenths, a usual cut: room settles rather than
        // swings.
        if (now - srv.roomCutAt > 200) {
            srv.roomCutAt = now;
            srv.room = Math.max(1, 0.7 * srv.room);
        }
    }

    private void completedInTime(Srv srv, boolean soon) {
        srv.failuresInRow = 0;
        srv.asideMs = 0;
        if (srv.room < Srv.USUAL_ROOM) {
            srv.room =
                    Math.min(
                            Srv.USUAL_ROOM,
                            now - srv.roomCutAt < 2000 ? srv.room + 0.5 : 2 * srv.room);
        } else if (soon && srv.out.size() + 1 >= srv.room / 2) {
            // Within a quarter of the target time: more may wait there and a further dispatch be in
            // time.
            srv.room += 1 / srv.room;
        }
    }

    /** How long a part may be out before its server is held to be late with it. */
    private double lateAfter(QueryClass type) {
        double half = type.latencyObjectiveMs() / 2;
        return Math.min(half, 1.5 * timesByType.get(type.name()).quantile(0.9, half));
    }

    // ---- Cold budget ----

    private double coldShare(Srv srv) {
        var rule = deployment.slowStart();
        double warmth = Math.min(1, Math.max(0, now - srv.startedAt) / rule.warmAfterMs());
        return srv.startedAt <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmth;
    }

    private double workOf(QueryClass type) {
        // The shortest tenth of the times has next to no waiting in it; at first, a quarter target.
        return timesByType.get(type.name()).quantile(0.1, type.latencyObjectiveMs() / 4);
    }

    private boolean coldRoom(Srv srv, Part part) {
        double share = coldShare(srv);
        Integer shared = room.isEmpty() ? null : room.get(SharedLimit.slowStart(srv.id));
        if (shared != null || share >= 1) {
            return shared == null || workOf(part.scan.type) <= shared;
        }
        var rule = deployment.slowStart();
        srv.coldSends.removeIf(s -> s[0] < now - 1.2 * rule.windowMs());
        double sent = srv.coldSends.stream().mapToDouble(s -> s[1]).sum();
        double work = workOf(part.scan.type);
        // One core is the least a server has; the others are taken to send as much as this
        // gatherer.
        if (sent + work
                <= rule.overloadFactor() * share * rule.windowMs() / deployment.gatherers()) {
            return true;
        }
        // Where a gatherer's part of the budget is under one part's work nobody would ever send:
        // gatherers
        // draw lots, each window anew, for one part.
        if (now >= srv.lotUntil) {
            srv.lotUntil = now + rule.windowMs();
            srv.lotWon =
                    chance.nextDouble()
                            < lotChance(rule.overloadFactor() * share * rule.windowMs() / work);
        }
        return srv.lotWon && sent == 0;
    }

    /**
     * The chance of a lot, so that all gatherers together send a cold server the parts that it may
     * get in a window and two, less one and a half standard deviations of their sum, but no more
     * than it may get: the rule grants two of those more, and two parts. A gatherer that has a part
     * for it in few windows draws better lots, and the others are taken to be like it. Half as many
     * parts again as lately leave room for traffic that shifts.
     */
    private double lotChance(double parts) {
        double aimed = Math.min(parts, parts + 2 - 1.5 * Math.sqrt(parts));
        double running = Math.max(1, srvsById.values().stream().filter(srv -> srv.running).count());
        double wanted = sendsPerMs() * deployment.slowStart().windowMs() / running;
        return aimed / deployment.gatherers() / (1 - Math.exp(-Math.max(0.3, 1.5 * wanted)));
    }

    /**
     * Long beside the gaps between a quiet gatherer's scans, short beside a server's warming up.
     */
    private static final double SEND_RATE_MS = 2000;

    private double sendRate, sendRateAt;

    /** Dispatches a millisecond, as an average that forgets. */
    private double sendsPerMs() {
        sendRate *= Math.exp((sendRateAt - now) / SEND_RATE_MS);
        sendRateAt = now;
        return sendRate;
    }

    // ---- List following ----

    private int listFailures;

    private void listReceived(Event.EndpointsUpdated list) {
        boolean first = srvsById.isEmpty();
        if (list.complete()) {
            srvsById.values().forEach(srv -> srv.running = false);
            cells.forEach(List::clear);
        }
        for (Endpoint entry : list.endpoints()) {
            Srv srv = srvsById.computeIfAbsent(entry.server(), Srv::new);
            cells.get(srv.cell).remove(srv);
            srv.cell = entry.replicaGroup();
            srv.zone = entry.zone();
            srv.running = entry.state() == Endpoint.State.RUNNING;
            if (entry.startedAtMs() != srv.startedAt) {
                srv.startedAt = entry.startedAtMs();
                srv.failuresInRow = 0;
                srv.room = coldShare(srv) < 1 ? 1 : Srv.USUAL_ROOM;
                srv.asideUntil = 0;
                srv.asideMs = 0;
            }
            if (entry.state() != Endpoint.State.GONE) {
                cells.get(srv.cell).add(srv);
                cells.get(srv.cell).sort(Comparator.comparing(s -> s.id));
            }
        }
        // Fleets are replaced for good by servers of new names; half a minute outlasts one that is
        // back soon.
        srvsById.values()
                .removeIf(
                        srv ->
                                srv.out.isEmpty()
                                        && !cells.get(srv.cell).contains(srv)
                                        && Math.max(srv.answeredAt, srv.failedAt) < now - 30_000);
        if (first && deployment.endpointSubscription().mustSubscribe()) {
            todo.add(new Command.SubscribeToEndpoints(Reason.FIRST_ENDPOINTS));
        } else {
            listFailures = 0;
        }
    }

    private void listUnavailable() {
        // Doubling and spread, not to flood a struggling list service. Three seconds at the most,
        // and two for
        // a call without an answer, stay under the six after which what the list has to tell counts
        // as told.
        double most = Math.min(2000, deployment.endpointSubscription().maxPollIntervalMs() / 2);
        double wait = Math.min(most, 250 * Math.pow(2, Math.min(listFailures++, 6)));
        double askAt = now + wait * (0.5 + chance.nextDouble());
        at(askAt, () -> todo.add(new Command.SubscribeToEndpoints(Reason.ENDPOINTS_UNAVAILABLE)));
    }

    // ---- Dispatches ----

    private final ArrayDeque<Double> takenAt = new ArrayDeque<>();
    private final ArrayDeque<Double> furtherAt = new ArrayDeque<>();

    /** Room for second copies; a part's first dispatch adds to it. */
    private double copyRoom = 5;

    private final List<Part> copiesWanted = new ArrayList<>();

    private void send(Part part, Srv srv, Reason reason) {
        if (srv == null) {
            // No holder may be used now; one may turn up before the time is over.
            waitingParts.add(part);
            return;
        }
        var sent = new Sent(part, srv, now);
        List<SkippedReplica> passedOver = passedOver(part, srv);
        // A fifth: enough for the shares of a fleet that fail at once, too little to double a full
        // load.
        // At most ten, or half the parts of a large scan, many of which may be late together.
        if (sent.number > 0) {
            furtherAt.add(now);
            take(SharedLimit.RETRIES, 1);
        } else if (copyRoom < Math.max(10, part.scan.parts.size() / 2)) {
            copyRoom += 0.2;
        }
        part.sent.add(sent);
        srv.out.add(sent);
        sendRate = sendsPerMs() + 1 / SEND_RATE_MS;
        if (coldShare(srv) < 1) {
            srv.coldSends.add(new double[] {now, workOf(part.scan.type)});
        }
        take(SharedLimit.slowStart(srv.id), (int) Math.ceil(workOf(part.scan.type)));
        double timeout = part.scan.endsAt - now;
        todo.add(
                new Command.SendAttempt(
                        part.id, srv.id, timeout, reason, part.scan.position, passedOver));
        overdueAt(now + lateAfter(part.scan.type), sent);
    }

    /** Takes so much of a bound that is shared, whether or not so much is left. */
    private void take(SharedLimit limit, int units) {
        if (units > 0 && room.computeIfPresent(limit, (of, left) -> left - units) != null) {
            todo.add(new Command.ConsumeAllowance(limit, units));
        }
    }

    private void sendWaitingParts() {
        var parts = List.copyOf(waitingParts);
        waitingParts.clear();
        for (Part part : parts) {
            if (held(part) && !part.scan.over) {
                waitingParts.add(part);
            } else if (mayDispatch(part) && !part.isOut()) {
                Srv srv =
                        part.sent.isEmpty() ? choose(part, part.scan.position) : leastLoaded(part);
                send(part, srv, again(part));
            }
        }
        if (now >= lookAgainAt && (!waitingParts.isEmpty() || !waiting.isEmpty())) {
            // Room also comes with time alone, as when a set-aside ends. One alarm: each would set
            // a next.
            lookAgainAt = now + 25;
            at(lookAgainAt, () -> {});
        }
    }

    private static Reason again(Part part) {
        return part.sent.isEmpty()
                ? Reason.REPLICA_AVAILABLE
                : part.mayHaveRun ? Reason.RETRY : Reason.RETRY_NOT_RUN;
    }

    private boolean mayDispatch(Part part) {
        Scan scan = part.scan;
        boolean tries = part.sent.size() < deployment.limits().attemptsPerPart();
        if (scan.over || part.past || part.completed || !tries) {
            return false;
        }
        if (part.sent.isEmpty()) {
            return true;
        }
        boolean mayRun = part.mayHaveRun || part.isOut();
        if (part.isOut() && !deployment.limits().hedging()
                || held(part)
                || mayRun && !mayRunAgain(part)) {
            return false;
        }
        var budget = deployment.retryBudget();
        furtherAt.removeIf(time -> time < now - budget.windowMs() - deployment.tickMs());
        return furtherAt.size() + 1 <= budget.fixed() + budget.perRequest() * takenAt.size()
                && room.getOrDefault(SharedLimit.RETRIES, 1) > 0;
    }

    /** Whether its table type lets a part run again that may have run. */
    private boolean mayRunAgain(Part part) {
        QueryClass type = part.scan.type;
        return switch (type.idempotence()) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case DEDUPLICATED ->
                    now
                            <= part.sent.get(0).at
                                    + type.deduplicationWindowMs()
                                    - 2 * deployment.tickMs();
        };
    }

    /**
     * A broken part goes again only once another of its scan is completed. Guards against scans
     * that bring down the servers that begin them, one by one; costs a sound scan the wait for its
     * quickest part.
     */
    private boolean held(Part part) {
        return part.broken && part.scan.completed() == 0;
    }

    /**
     * An alarm that comes late itself tells nothing: answers may lie unread, or the part went out
     * late.
     */
    private void overdueAt(double due, Sent sent) {
        at(
                due,
                () -> {
                    if (sent.out && now - due > 2 * deployment.tickMs()) {
                        overdueAt(2 * now - due, sent);
                    } else if (sent.out) {
                        overdue(sent);
                    }
                });
    }

    private void overdue(Sent sent) {
        sent.overdue = true;
        // It will take longer still, but by then it is too late to know.
        slowness.add(
                1000 * Math.max(0.5, (now - sent.at) / sent.part.scan.type.latencyObjectiveMs()));
        lateByZone.merge(sent.srv.zone, 0.1, (late, one) -> 0.9 * late + one);
        late(sent.srv);
        // One that still answers is slow; while the whole fleet is, setting it aside only loads the
        // others.
        if (sent.srv.answeredAt < sent.at || servedShare >= 0.6) {
            failed(sent.srv, false);
        }
        if (!copiesWanted.contains(sent.part)) {
            copiesWanted.add(sent.part);
        }
    }

    /** Second copies of late parts, each as soon as there is a server for it. */
    private void sendCopies() {
        copiesWanted.removeIf(
                part -> {
                    if (!part.isOut() || !mayDispatch(part) || now >= part.scan.targetAt()) {
                        return true;
                    }
                    Srv other = copyRoom < 1 || pressure > 0.1 ? null : leastLoaded(part);
                    // Only to a server that has nothing of ours, or it makes others late. But a
                    // part that later ones
                    // have overtaken is lost on the way and goes wherever there is room.
                    Sent last = part.sent.get(part.sent.size() - 1);
                    boolean overtaken = last.overdue && last.srv.answeredOfAt > last.at;
                    if (other == null || !other.out.isEmpty() && !overtaken) {
                        return false;
                    }
                    copyRoom--;
                    send(part, other, Reason.HEDGE);
                    return true;
                });
    }

    private void dispatchEnded(Event.AttemptEnded ended) {
        Part part = partsById.get(ended.partId());
        if (part == null) {
            return;
        }
        Sent sent = part.sent.get(ended.attemptNumber());
        Scan scan = part.scan;
        boolean wanted = !scan.over && !part.past && !part.completed;
        sent.out = false;
        sent.srv.out.remove(sent);
        part.mayHaveRun |= !ended.outcome().provesNeverRan();
        if (ended.outcome() == AttemptOutcome.COMPLETED) {
            timesByType.get(scan.type.name()).add(ended.durationMs());
            sent.srv.answeredAt = now;
            sent.srv.answeredOfAt = Math.max(sent.srv.answeredOfAt, sent.at);
            if (!sent.overdue) {
                slowness.add(1000 * ended.durationMs() / scan.type.latencyObjectiveMs());
                lateByZone.merge(sent.srv.zone, 0.0, (late, none) -> 0.9 * late);
                completedInTime(sent.srv, ended.durationMs() < scan.type.latencyObjectiveMs() / 4);
            }
            if (!part.round.timerOver && !part.completed) {
                part.round.inTime++;
            }
            part.completed = true;
            if (wanted) {
                callOff(part, Reason.PART_COMPLETED);
                settle(scan);
            }
        } else {
            if (ended.outcome() == AttemptOutcome.CANCELLED
                    || ended.outcome() == AttemptOutcome.NEVER_SENT) {
                if (!part.round.timerOver && !part.completed && sent.calledOff) {
                    part.round.calledOff++;
                }
            } else if (!sent.overdue
                    && ended.outcome() != AttemptOutcome.TIMED_OUT
                    && (sent.srv.failedAt < now || ended.outcome() == AttemptOutcome.UNREACHABLE)) {
                // A time-out before the part was late tells of the client's haste, not of the
                // server.
                // All that ends together is one failure: a link that breaks mustn't set a server
                // aside.
                failed(sent.srv, ended.outcome() == AttemptOutcome.UNREACHABLE);
            }
            part.broken |= ended.outcome() == AttemptOutcome.RESET;
            if (wanted && !part.isOut()) {
                if (held(part)) {
                    waitingParts.add(part);
                } else if (mayDispatch(part)) {
                    send(part, leastLoaded(part), again(part));
                }
                settle(scan);
            }
        }
        forget(part);
    }

    private void forget(Part part) {
        if ((part.scan.over || part.past) && !part.isOut()) {
            partsById.remove(part.id);
        }
    }

    private void callOff(Part part, Reason reason) {
        for (Sent sent : part.sent) {
            if (sent.out && !sent.calledOff && deployment.limits().cancellation()) {
                sent.calledOff = true;
                todo.add(new Command.CancelAttempt(part.id, sent.number, reason));
            }
        }
    }

    // ---- Throttling ----

    private enum Admission {
        NOW,
        LATER,
        NEVER
    }

    /**
     * A scan begins when enough of its parts have a server with room; its parts wait at no cost.
     */
    private Admission admit(Scan scan) {
        Tenant tenant = scan.taken.tenant();
        if (!scan.counted) {
            scan.counted = true;
            scan.overShare = tenant != null && !spend(tenant);
            if (crowded && tooMuch(scan)) {
                throttle(scan, Reason.OVERLOAD);
                return Admission.NEVER;
            }
        }
        // A client that most likely leaves before all needed parts are in only takes servers from
        // others.
        double usual =
                timesByType.get(scan.type.name()).quantile(Math.pow(0.5, 1.0 / scan.needed()), 0);
        if (scan.endsAt < scan.targetAt() && scan.endsAt - now < usual) {
            throttle(scan, Reason.DEADLINE_TOO_SHORT);
            return Admission.NEVER;
        }
        scan.position = choosePosition(scan);
        Map<Srv, Integer> wanted = new LinkedHashMap<>();
        int placeable = 0;
        for (Part part : scan.parts) {
            Srv srv = choose(part, scan.position);
            double lately = now - scan.type.latencyObjectiveMs();
            if (crowded && srv != null && srv.failuresInRow > 1 && srv.failedAt > lately) {
                // Every holder failed more than once and within a target time: the scan would come
                // late.
                return Admission.LATER;
            } else if (srv != null) {
                wanted.merge(srv, 1, Integer::sum);
            } else if (holders(part.segment).stream().noneMatch(holder -> holder.running)) {
                placeable++;
            }
        }
        for (var entry : wanted.entrySet()) {
            int out = entry.getKey().out.size();
            // An idle server takes whatever a scan brings, others as much as they have room for.
            int room = (int) entry.getKey().room - out;
            placeable += out == 0 ? entry.getValue() : Math.min(entry.getValue(), room);
        }
        return placeable >= scan.needed() ? Admission.NOW : Admission.LATER;
    }

    /** Recent parts' times as thousandths of their target time. */
    private final Times slowness = new Times(32);

    private double pressure, pressureAt, usualBenefit;

    /**
     * Whether a scan is turned away because the fleet as a whole is slow: while even the quicker
     * two fifths of parts take over a third of their target time, a growing share of scans is, and
     * then a shrinking one. The quicker ones, so that servers slow by themselves change nothing.
     * Harmful where it isn't load.
     */
    private boolean tooMuch(Scan scan) {
        double seconds = (now - pressureAt) / 1000;
        if (seconds >= 0.5) {
            double over = slowness.quantile(0.4, 0) / 1000 - 0.35;
            pressure = Math.max(0, Math.min(0.9, pressure + Math.min(1, seconds) * 1.5 * over));
            pressureAt = now;
            slowness.halve();
            // A zone left alone is tried again after some six seconds.
            lateByZone.replaceAll((zone, late) -> 0.95 * late);
        }
        // What brings less than usual for each part goes first, though never more than four times
        // as readily.
        double brings = benefit(scan) / Math.max(1, scan.needed());
        usualBenefit = usualBenefit == 0 ? brings : usualBenefit + 0.05 * (brings - usualBenefit);
        return chance.nextDouble() < pressure * Math.max(0.5, Math.min(2, usualBenefit / brings));
    }

    private double benefit(Scan scan) {
        return scan.type.priorityWeight() * (scan.overShare ? deployment.overQuotaPriority() : 1);
    }

    /**
     * Whether the scan lies within its customer's share of what this gatherer takes; what part of
     * all that is isn't known. Half as much again is granted for uneven hours, and four scans may
     * be saved up for bursts.
     */
    private boolean spend(Tenant tenant) {
        Integer left = room.get(SharedLimit.tenantQuota(tenant.name()));
        if (left != null) {
            take(SharedLimit.tenantQuota(tenant.name()), Math.min(1, left));
            return left > 0;
        }
        double all = deployment.tenants().stream().mapToDouble(Tenant::queriesPerSecond).sum();
        allowances.replaceAll((c, saved) -> Math.min(4, saved + 1.5 * c.queriesPerSecond() / all));
        double saved = allowances.get(tenant);
        allowances.put(tenant, saved < 1 ? saved : saved - 1);
        return saved >= 1;
    }

    // ---- Endings ----

    private void settle(Scan scan) {
        double weight = scan.completedWeight();
        if (weight >= (scan.secondStep ? 1 : scan.type.completeCoverage()) - 1e-6) {
            answer(scan);
            return;
        }
        boolean anyOut = scan.parts.stream().anyMatch(Part::isOut);
        // Nothing asked for is left but broken parts: the next round's would break as well.
        if (weight == 0 && !anyOut && scan.parts.stream().anyMatch(p -> p.broken)) {
            if (scan.parts.size() > 1) {
                // Twenty seconds: a gatherer meets few such scans.
                brokenUntil.put(scan.taken.tenant(), now + 20_000);
            }
            end(scan, Reason.ALL_CONNECTIONS_RESET);
            return;
        }
        double possible =
                scan.parts.stream()
                        .filter(
                                p ->
                                        p.completed
                                                || p.isOut()
                                                || mayDispatch(p)
                                                || anyOut && held(p))
                        .mapToDouble(p -> p.weight)
                        .sum();
        // Nothing more can come, or not enough.
        if (possible < scan.least() - 1e-6 || possible <= weight) {
            end(
                    scan,
                    possible < scan.least() - 1e-6
                            ? Reason.BELOW_MINIMUM_COVERAGE
                            : Reason.NOTHING_PENDING);
            return;
        }
        Round round = scan.rounds.get(scan.rounds.size() - 1);
        if (round.parts.stream().allMatch(p -> p.completed || !p.isOut() && !mayDispatch(p))) {
            endRound(scan, round);
        }
    }

    private void answer(Scan scan) {
        todo.add(new Command.AnswerQuery(scan.taken.id(), true, Reason.COMPLETE));
        if (!scan.secondStep && scan.type.secondStepParts() > 0) {
            scan.secondStep = true;
            scan.parts.forEach(part -> callOff(part, Reason.NEXT_STEP));
            scan.parts.forEach(part -> part.past = true);
            scan.parts.forEach(this::forget);
            scan.parts = new ArrayList<>();
            scan.rounds = new ArrayList<>();
        } else {
            close(scan, Reason.QUERY_OVER);
        }
    }

    /** The final answer when no more can come: what is in, if that may be given, or else none. */
    private void end(Scan scan, Reason reason) {
        if (scan.over) {
            return;
        }
        if (mayAnswer(scan)) {
            todo.add(new Command.AnswerQuery(scan.taken.id(), false, reason));
        } else if (scan.type.idempotence() != QueryClass.Idempotence.NON_IDEMPOTENT
                || !scan.secondStep
                        && scan.parts.stream().noneMatch(p -> p.mayHaveRun || p.isOut())) {
            todo.add(
                    new Command.RejectQuery(
                            scan.taken.id(), deployment.limits().maxRetryAfterMs(), reason));
        } else {
            todo.add(new Command.FailQuery(scan.taken.id(), reason));
        }
        close(scan, Reason.QUERY_OVER);
    }

    /**
     * Whether what is in may be the final answer; a first step's isn't one where a second follows.
     */
    private static boolean mayAnswer(Scan scan) {
        return !scan.over
                && (scan.secondStep || scan.type.secondStepParts() == 0)
                && !scan.parts.isEmpty()
                && scan.completedWeight() >= scan.least() - 1e-6;
    }

    private void throttle(Scan scan, Reason reason) {
        todo.add(
                new Command.RejectQuery(
                        scan.taken.id(), deployment.limits().maxRetryAfterMs(), reason));
        close(scan, Reason.QUERY_OVER);
    }

    private void close(Scan scan, Reason reason) {
        scan.over = true;
        scansById.remove(scan.taken.id());
        scansByNumber.remove(scan.taken.number());
        scan.parts.forEach(part -> callOff(part, reason));
        scan.parts.forEach(this::forget);
    }
}
