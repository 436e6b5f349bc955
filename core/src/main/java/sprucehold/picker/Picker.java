package sprucehold.picker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import sprucehold.port.Action;
import sprucehold.port.Bound;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.Gatherer;
import sprucehold.port.Listing;
import sprucehold.port.LoadReport;
import sprucehold.port.Others;
import sprucehold.port.Reason;
import sprucehold.port.TableType;

/**
 * The decisions in blocking style: plain calls that return at once with what to do. It keeps the
 * books between the ids that the decisions name and the objects that the network code holds. Not
 * safe for threads.
 */
public final class Picker {
    private static final Logger LOG = Logger.getLogger(Picker.class.getName());

    private static final Event WOKEN = new Event.Woken();

    private final Gatherer gatherer;
    private int maxOpen;
    private final double tickMs;
    private Map<String, TableType> tableTypes;
    private Map<String, Customer> customers;
    private final Map<String, OpenScan> scans = new HashMap<>();

    /** Parts of open scans, and of others while a dispatch is out. */
    private final Map<String, OpenPart> parts = new HashMap<>();

    private final Map<String, ShardServer> servers = new HashMap<>();
    private final PriorityQueue<OpenScan> ends =
            new PriorityQueue<>(Comparator.comparingDouble(scan -> scan.endsAt));
    private final PriorityQueue<Dispatch> patience =
            new PriorityQueue<>(Comparator.comparingDouble(dispatch -> dispatch.patienceEndsAt));
    private final Queue<Event> events = new ArrayDeque<>();
    private long scansTaken;
    private int openParts;
    private double wakeAt = Double.POSITIVE_INFINITY;

    private double now;
    private List<Dispatch> cancel = new ArrayList<>();
    private List<Dispatch> send = new ArrayList<>();
    private List<Orders.Reply> replies = new ArrayList<>();
    private List<ShardServer> probe = new ArrayList<>();
    private List<String> notes = new ArrayList<>();
    private List<Action.Use> uses = new ArrayList<>();

    /** What the next dispatch takes of shared bounds. */
    private List<Action.Use> forNext = new ArrayList<>();

    private boolean askList;

    public Picker(Gatherer gatherer, Deployment deployment) {
        this.gatherer = gatherer;
        this.tickMs = Math.max(1, deployment.tickMs());
        take(deployment);
    }

    private void take(Deployment deployment) {
        maxOpen = deployment.limits().maxOpen();
        tableTypes =
                deployment.tableTypes().stream()
                        .collect(Collectors.toMap(TableType::name, Function.identity()));
        customers =
                deployment.customers().stream()
                        .collect(Collectors.toMap(Customer::name, Function.identity()));
    }

    /** Other facts hold from now on, in one step, for scans picked from now on. */
    public Orders change(double nowMs, Deployment deployment) {
        now = nowMs;
        take(deployment);
        scans.values().forEach(open -> open.type = open.type.boundBy(deployment.tableTypes()));
        events.add(new Event.FactsChanged(deployment));
        decide(List.of());
        return orders();
    }

    /**
     * What others told holds from now on; the decisions hear of it with whatever they are told
     * next, and before that.
     */
    public void hear(Others others) {
        events.add(new Event.OthersTold(others));
    }

    /** Whether a scan of this id is still open, or something of it is still out. */
    public boolean isOpen(Scan scan) {
        return scans.containsKey(scan.id())
                || scan.parts().stream()
                        .anyMatch(part -> parts.containsKey(scan.id() + "." + part.segment()));
    }

    /** Scans and parts that count against what may be open. */
    public int held() {
        return scans.size() + openParts;
    }

    public int openScans() {
        return scans.size();
    }

    /** How much is in the books, for scans of whatever age. */
    int booked() {
        return scans.size()
                + parts.size()
                + openParts
                + ends.size()
                + patience.size()
                + events.size();
    }

    int serversHeld() {
        return servers.size();
    }

    public Orders pick(double nowMs, Scan scan) {
        return pick(nowMs, scan, Double.POSITIVE_INFINITY);
    }

    /**
     * Takes a scan of a known table type whose id isn't open. It gets exactly one reply, now or
     * later.
     *
     * @param mostMs the reply has to come within this time, however long the client would wait
     */
    public Orders pick(double nowMs, Scan scan, double mostMs) {
        now = nowMs;
        // A type may have gone by a change since the scan was read.
        if (scans.size() + openParts >= maxOpen || !tableTypes.containsKey(scan.tableType())) {
            replies.add(new Orders.Reply(scan, new Answer.Throttled(0), Reason.UNSTATED));
            return orders();
        }
        double timeLeftMs = Math.min(scan.timeLeftMs(), mostMs);
        var open = new OpenScan(scan, tableTypes.get(scan.tableType()), now + timeLeftMs);
        scans.put(scan.id(), open);
        ends.add(open);
        openParts += open.parts.size();
        long number = ++scansTaken;
        events.add(
                new Event.ScanTaken(
                        scan.id(),
                        number,
                        tableTypes.get(scan.tableType()),
                        customers.get(scan.customer()),
                        timeLeftMs));
        for (int i = 0; i < open.parts.size(); i++) {
            OpenPart part = open.parts.get(i);
            parts.put(part.id, part);
            events.add(
                    new Event.PartTaken(
                            part.id, number, part.segment, scan.parts().get(i).weight()));
        }
        decide(List.of(open));
        return orders();
    }

    /** Takes what happened at this moment. */
    public Orders report(double nowMs, List<Report> reports) {
        now = nowMs;
        var concerned = new ArrayList<OpenScan>();
        for (Report report : reports) {
            if (report instanceof Report.DispatchEnded ended) {
                dispatchEnded(ended.dispatch(), ended.outcome());
                concerned.add(ended.dispatch().part.scan);
            } else if (report instanceof Report.ClientLeft left) {
                OpenScan open = scans.get(left.scan().id());
                if (open != null && open.scan == left.scan()) {
                    close(open);
                    events.add(new Event.ClientLeft(open.scan.id()));
                }
            } else if (report instanceof Report.ListCame list) {
                events.add(listReceived(list));
            } else if (report instanceof Report.ListFailed) {
                events.add(new Event.ListUnavailable());
            } else if (report instanceof Report.ProbeEnded ended) {
                events.add(
                        new Event.ProbeEnded(
                                ended.server().name(),
                                ending(ended.outcome(), false),
                                ended.tookMs(),
                                load(ended.outcome())));
            }
        }
        decide(concerned);
        return orders();
    }

    /** Lets time pass; to be called at the time that the last orders named, or soon after. */
    public Orders tick(double nowMs) {
        now = nowMs;
        events.add(WOKEN);
        decide(List.of());
        while (!patience.isEmpty()
                && (!patience.peek().out || patience.peek().patienceEndsAt <= now)) {
            Dispatch dispatch = patience.poll();
            if (dispatch.out && !dispatch.patienceOver) {
                dispatch.patienceOver = true;
                cancel(dispatch);
            }
        }
        // The decisions end each scan before its time is up; only after a panic one may be left
        // over.
        while (!ends.isEmpty() && (ends.peek().over || ends.peek().endsAt <= now)) {
            OpenScan open = ends.poll();
            if (!open.over) {
                LOG.warning("a scan had no answer in time and was abandoned");
                abandon(open);
            }
        }
        if (!events.isEmpty()) {
            decide(List.of());
        }
        return orders();
    }

    private Orders orders() {
        while (!ends.isEmpty() && ends.peek().over) {
            ends.poll();
        }
        while (!patience.isEmpty() && !patience.peek().out) {
            patience.poll();
        }
        double next =
                Math.min(wakeAt, ends.isEmpty() ? Double.POSITIVE_INFINITY : ends.peek().endsAt);
        next =
                Math.min(
                        next,
                        patience.isEmpty()
                                ? Double.POSITIVE_INFINITY
                                : patience.peek().patienceEndsAt);
        var orders = new Orders(cancel, send, replies, probe, uses, askList, notes, next);
        cancel = new ArrayList<>();
        send = new ArrayList<>();
        replies = new ArrayList<>();
        probe = new ArrayList<>();
        notes = new ArrayList<>();
        uses = new ArrayList<>();
        askList = false;
        return orders;
    }

    /**
     * Hands what happened to the decisions and takes what they want, until nothing more has
     * happened.
     */
    private void decide(List<OpenScan> concerned) {
        do {
            // Whatever the call is for: once the time has come, the tick for it may never be asked
            // for.
            if (wakeAt <= now) {
                wakeAt = Double.POSITIVE_INFINITY;
                if (!events.contains(WOKEN)) {
                    events.add(WOKEN);
                }
            }
            List<Event> batch = List.copyOf(events);
            events.clear();
            try {
                gatherer.decide(now, batch).forEach(this::act);
            } catch (RuntimeException | StackOverflowError e) {
                LOG.log(
                        Level.SEVERE,
                        "panic: the decisions failed and the scans concerned are abandoned",
                        e);
                concerned.stream().filter(open -> !open.over).forEach(this::abandon);
                // They may have lost the time at which they wanted to be woken.
                wakeAt = Math.min(wakeAt, now + tickMs);
                events.removeIf(event -> !(event instanceof Event.ClientLeft));
                concerned = List.of();
                if (batch.stream().allMatch(Event.ClientLeft.class::isInstance)) {
                    return;
                }
            }
        } while (!events.isEmpty());
    }

    private void act(Action action) {
        if (action instanceof Action.Dispatch wanted) {
            send(wanted);
        } else if (action instanceof Action.Cancel cancel) {
            OpenPart part = parts.get(cancel.partId());
            if (part != null && cancel.number() < part.dispatches.size()) {
                cancel(part.dispatches.get(cancel.number()));
            } else {
                events.add(
                        new Event.DispatchEnded(
                                cancel.partId(), cancel.number(), Ending.NEVER_SENT, 0, null));
            }
        } else if (action instanceof Action.Answer answer) {
            OpenScan open = scans.get(answer.scanId());
            if (open != null) {
                List<Answer.Value> values =
                        open.parts.stream()
                                .filter(part -> part.value != null)
                                .map(part -> new Answer.Value(part.segment, part.value))
                                .toList();
                reply(open, new Answer.Completed(answer.whole(), values), answer.reason());
            }
        } else if (action instanceof Action.Throttle throttle) {
            reply(
                    scans.get(throttle.scanId()),
                    new Answer.Throttled(throttle.comeBackMs()),
                    throttle.reason());
        } else if (action instanceof Action.Abandon abandon) {
            reply(scans.get(abandon.scanId()), new Answer.Abandoned(), abandon.reason());
        } else if (action instanceof Action.Wake wake) {
            wakeAt = Math.min(wakeAt, now + wake.delayMs());
        } else if (action instanceof Action.Probe wanted) {
            probe.add(servers.get(wanted.server()));
        } else if (action instanceof Action.FollowList) {
            askList = true;
        } else if (action instanceof Action.Use use) {
            (use.bound().kind() == Bound.Kind.CUSTOMER ? uses : forNext).add(use);
        } else if (action instanceof Action.Note note) {
            notes.add(note.line());
        }
    }

    private void send(Action.Dispatch wanted) {
        OpenPart part = parts.get(wanted.partId());
        List<Action.Use> takes = List.copyOf(forNext);
        forNext.clear();
        if (part == null) {
            return;
        }
        var dispatch =
                new Dispatch(
                        part,
                        servers.get(wanted.server()),
                        now,
                        wanted.timeoutMs(),
                        takes,
                        wanted.reason());
        part.dispatches.add(dispatch);
        if (part.scan.over || wanted.timeoutMs() <= 0 || dispatch.server() == null) {
            ended(dispatch, Ending.NEVER_SENT, null);
        } else {
            patience.add(dispatch);
            send.add(dispatch);
        }
    }

    private void cancel(Dispatch dispatch) {
        if (!dispatch.out) {
            return;
        }
        if (send.remove(dispatch)) {
            ended(dispatch, Ending.NEVER_SENT, null);
        } else if (!cancel.contains(dispatch)) {
            cancel.add(dispatch);
        }
    }

    private void dispatchEnded(Dispatch dispatch, Outcome outcome) {
        if (!dispatch.out) {
            return;
        }
        if (outcome instanceof Outcome.Completed completed
                && !dispatch.part.scan.over
                && dispatch.part.value == null) {
            dispatch.part.value = completed.value();
        }
        ended(dispatch, ending(outcome, dispatch.patienceOver), load(outcome));
    }

    private void ended(Dispatch dispatch, Ending ending, LoadReport load) {
        dispatch.out = false;
        dispatch.neverRan = ending.provesNeverRan;
        events.add(
                new Event.DispatchEnded(
                        dispatch.part.id, dispatch.number, ending, now - dispatch.sentAt, load));
        forget(dispatch.part);
    }

    /** What an outcome says of whether the part ran; the rule on effects rests on it. */
    static Ending ending(Outcome outcome, boolean patienceOver) {
        if (outcome instanceof Outcome.Completed) {
            return Ending.COMPLETED;
        } else if (outcome instanceof Outcome.Faulty) {
            return Ending.ERROR;
        } else if (outcome instanceof Outcome.TurnedAway) {
            return Ending.FULL;
        } else if (outcome instanceof Outcome.Lost lost) {
            return lost.progress() == Progress.WRITTEN ? Ending.RESET : Ending.UNCONNECTED;
        } else if (((Outcome.Cancelled) outcome).progress() != Progress.WRITTEN) {
            return Ending.NEVER_SENT;
        }
        return patienceOver ? Ending.TIMED_OUT : Ending.CANCELLED;
    }

    private static LoadReport load(Outcome outcome) {
        Load load =
                outcome instanceof Outcome.Completed completed
                        ? completed.load()
                        : outcome instanceof Outcome.Faulty faulty
                                ? faulty.load()
                                : outcome instanceof Outcome.TurnedAway away ? away.load() : null;
        return load == null ? null : new LoadReport(load.held(), load.queued(), load.busy());
    }

    private void reply(OpenScan open, Answer answer, Reason reason) {
        if (open != null) {
            replies.add(new Orders.Reply(open.scan, answer, reason));
            close(open);
        }
    }

    /** Ends a scan that the decisions failed on. */
    private void abandon(OpenScan open) {
        reply(open, new Answer.Abandoned(), Reason.UNSTATED);
        open.parts.forEach(part -> List.copyOf(part.dispatches).forEach(this::cancel));
        events.add(new Event.ClientLeft(open.scan.id()));
    }

    private void close(OpenScan open) {
        open.over = true;
        scans.remove(open.scan.id());
        openParts -= open.parts.size();
        open.parts.forEach(part -> part.value = null);
        open.parts.forEach(this::forget);
        for (Dispatch dispatch : List.copyOf(send)) {
            if (dispatch.part.scan == open) {
                cancel(dispatch);
            }
        }
    }

    private void forget(OpenPart part) {
        if (part.scan.over && !part.isOut()) {
            parts.remove(part.id, part);
        }
    }

    private Event.ListReceived listReceived(Report.ListCame list) {
        if (list.complete()) {
            servers.values().forEach(ShardServer::gone);
        }
        var held = new HashMap<>(servers);
        if (list.complete()) {
            servers.clear();
        }
        var listings = new ArrayList<Listing>();
        for (ServerNews news : list.servers()) {
            ShardServer server = held.computeIfAbsent(news.name(), ShardServer::new);
            server.update(news.address(), news.state() == ServerNews.State.RUNNING);
            // Fleets are replaced by servers of new names for good; parts out keep hold of theirs.
            if (news.state() == ServerNews.State.GONE) {
                servers.remove(news.name());
            } else {
                servers.put(news.name(), server);
            }
            Listing.Mode mode =
                    switch (news.state()) {
                        case RUNNING -> Listing.Mode.RUNNING;
                        case DRAINING -> Listing.Mode.DRAINING;
                        case GONE -> Listing.Mode.GONE;
                    };
            listings.add(
                    new Listing(news.name(), news.cell(), news.zone(), news.startedAtMs(), mode));
        }
        return new Event.ListReceived(list.complete(), List.copyOf(listings));
    }
}
