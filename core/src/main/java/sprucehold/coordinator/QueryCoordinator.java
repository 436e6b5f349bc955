package sprucehold.coordinator;

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
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.LoadReport;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.Tenant;

/**
 * The decisions in blocking style: plain calls that return at once with what to do. It keeps the
 * books between the ids that the decisions name and the objects that the network code holds. Not
 * safe for threads.
 */
public final class QueryCoordinator {
    private static final Logger LOG = Logger.getLogger(QueryCoordinator.class.getName());

    private static final Event WOKEN = new Event.WakeUp();

    private final DecisionPolicy policy;
    private int maxOpen;
    private final double tickMs;
    private Map<String, QueryClass> queryClasses;
    private Map<String, Tenant> tenants;
    private final Map<String, OpenQuery> openQueriesById = new HashMap<>();

    /** Parts of open scans, and of others while a dispatch is out. */
    private final Map<String, OpenPart> parts = new HashMap<>();

    private final Map<String, ShardServer> servers = new HashMap<>();
    private final PriorityQueue<OpenQuery> ends =
            new PriorityQueue<>(Comparator.comparingDouble(openQuery -> openQuery.endsAt));
    private final PriorityQueue<Attempt> patience =
            new PriorityQueue<>(Comparator.comparingDouble(attempt -> attempt.timesOutAt));
    private final Queue<Event> events = new ArrayDeque<>();
    private long queriesReceived;
    private int openParts;
    private double wakeAt = Double.POSITIVE_INFINITY;

    private double now;
    private List<Attempt> cancel = new ArrayList<>();
    private List<Attempt> send = new ArrayList<>();
    private List<Commands.Reply> replies = new ArrayList<>();
    private List<ShardServer> probe = new ArrayList<>();
    private List<String> notes = new ArrayList<>();
    private List<Command.ConsumeAllowance> uses = new ArrayList<>();

    /** What the next dispatch takes of shared bounds. */
    private List<Command.ConsumeAllowance> forNext = new ArrayList<>();

    private boolean askList;

    public QueryCoordinator(DecisionPolicy policy, Deployment deployment) {
        this.policy = policy;
        this.tickMs = Math.max(1, deployment.tickMs());
        take(deployment);
    }

    private void take(Deployment deployment) {
        maxOpen = deployment.limits().maxOpen();
        queryClasses =
                deployment.queryClasses().stream()
                        .collect(Collectors.toMap(QueryClass::name, Function.identity()));
        tenants =
                deployment.tenants().stream()
                        .collect(Collectors.toMap(Tenant::name, Function.identity()));
    }

    /** Other facts hold from now on, in one step, for scans picked from now on. */
    public Commands changeDeployment(double nowMs, Deployment deployment) {
        now = nowMs;
        take(deployment);
        openQueriesById
                .values()
                .forEach(
                        openQuery ->
                                openQuery.type =
                                        openQuery.type.restrictedBy(deployment.queryClasses()));
        events.add(new Event.DeploymentChanged(deployment));
        decide(List.of());
        return orders();
    }

    /**
     * What others told holds from now on; the decisions hear of it with whatever they are told
     * next, and before that.
     */
    public void changeClusterView(ClusterView clusterView) {
        events.add(new Event.ClusterViewChanged(clusterView));
    }

    /** Whether a scan of this id is still open, or something of it is still out. */
    public boolean isOpen(Query query) {
        return openQueriesById.containsKey(query.id())
                || query.parts().stream()
                        .anyMatch(part -> parts.containsKey(query.id() + "." + part.shard()));
    }

    /** Scans and parts that count against what may be open. */
    public int openItems() {
        return openQueriesById.size() + openParts;
    }

    public int openQueries() {
        return openQueriesById.size();
    }

    /** How much is in the books, for scans of whatever age. */
    int trackedItems() {
        return openQueriesById.size()
                + parts.size()
                + openParts
                + ends.size()
                + patience.size()
                + events.size();
    }

    int knownServers() {
        return servers.size();
    }

    public Commands submit(double nowMs, Query query) {
        return submit(nowMs, query, Double.POSITIVE_INFINITY);
    }

    /**
     * Takes a scan of a known table type whose id isn't open. It gets exactly one reply, now or
     * later.
     *
     * @param mostMs the reply has to come within this time, however long the client would wait
     */
    public Commands submit(double nowMs, Query query, double mostMs) {
        now = nowMs;
        // A type may have gone by a change since the scan was read.
        if (openQueriesById.size() + openParts >= maxOpen
                || !queryClasses.containsKey(query.queryClass())) {
            replies.add(new Commands.Reply(query, new Answer.Rejected(0), Reason.UNSTATED));
            return orders();
        }
        double timeLeftMs = Math.min(query.timeLeftMs(), mostMs);
        var openQuery =
                new OpenQuery(query, queryClasses.get(query.queryClass()), now + timeLeftMs);
        openQueriesById.put(query.id(), openQuery);
        ends.add(openQuery);
        openParts += openQuery.parts.size();
        long number = ++queriesReceived;
        events.add(
                new Event.QueryReceived(
                        query.id(),
                        number,
                        queryClasses.get(query.queryClass()),
                        tenants.get(query.tenant()),
                        timeLeftMs));
        for (int i = 0; i < openQuery.parts.size(); i++) {
            OpenPart part = openQuery.parts.get(i);
            parts.put(part.id, part);
            events.add(
                    new Event.PartReceived(
                            part.id, number, part.shard, query.parts().get(i).weight()));
        }
        decide(List.of(openQuery));
        return orders();
    }

    /** Takes what happened at this moment. */
    public Commands observe(double nowMs, List<Observation> reports) {
        now = nowMs;
        var concerned = new ArrayList<OpenQuery>();
        for (Observation observation : reports) {
            if (observation instanceof Observation.AttemptEnded ended) {
                dispatchEnded(ended.attempt(), ended.result());
                concerned.add(ended.attempt().part.query);
            } else if (observation instanceof Observation.ClientDisconnected left) {
                OpenQuery openQuery = openQueriesById.get(left.query().id());
                if (openQuery != null && openQuery.query == left.query()) {
                    close(openQuery);
                    events.add(new Event.ClientDisconnected(openQuery.query.id()));
                }
            } else if (observation instanceof Observation.EndpointsUpdated list) {
                events.add(listReceived(list));
            } else if (observation instanceof Observation.EndpointsUnavailable) {
                events.add(new Event.EndpointsUnavailable());
            } else if (observation instanceof Observation.HealthCheckEnded ended) {
                events.add(
                        new Event.HealthCheckEnded(
                                ended.server().name(),
                                ending(ended.result(), false),
                                ended.durationMs(),
                                load(ended.result())));
            }
        }
        decide(concerned);
        return orders();
    }

    /** Lets time pass; to be called at the time that the last orders named, or soon after. */
    public Commands tick(double nowMs) {
        now = nowMs;
        events.add(WOKEN);
        decide(List.of());
        while (!patience.isEmpty()
                && (!patience.peek().pending || patience.peek().timesOutAt <= now)) {
            Attempt attempt = patience.poll();
            if (attempt.pending && !attempt.timedOut) {
                attempt.timedOut = true;
                cancel(attempt);
            }
        }
        // The decisions end each scan before its time is up; only after a panic one may be left
        // over.
        while (!ends.isEmpty() && (ends.peek().over || ends.peek().endsAt <= now)) {
            OpenQuery openQuery = ends.poll();
            if (!openQuery.over) {
                LOG.warning("a scan had no answer in time and was abandoned");
                abandon(openQuery);
            }
        }
        if (!events.isEmpty()) {
            decide(List.of());
        }
        return orders();
    }

    private Commands orders() {
        while (!ends.isEmpty() && ends.peek().over) {
            ends.poll();
        }
        while (!patience.isEmpty() && !patience.peek().pending) {
            patience.poll();
        }
        double next =
                Math.min(wakeAt, ends.isEmpty() ? Double.POSITIVE_INFINITY : ends.peek().endsAt);
        next =
                Math.min(
                        next,
                        patience.isEmpty() ? Double.POSITIVE_INFINITY : patience.peek().timesOutAt);
        var commands = new Commands(cancel, send, replies, probe, uses, askList, notes, next);
        cancel = new ArrayList<>();
        send = new ArrayList<>();
        replies = new ArrayList<>();
        probe = new ArrayList<>();
        notes = new ArrayList<>();
        uses = new ArrayList<>();
        askList = false;
        return commands;
    }

    /**
     * Hands what happened to the decisions and takes what they want, until nothing more has
     * happened.
     */
    private void decide(List<OpenQuery> concerned) {
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
                policy.decide(now, batch).forEach(this::act);
            } catch (RuntimeException | StackOverflowError e) {
                LOG.log(
                        Level.SEVERE,
                        "panic: the decisions failed and the scans concerned are abandoned",
                        e);
                concerned.stream().filter(openQuery -> !openQuery.over).forEach(this::abandon);
                // They may have lost the time at which they wanted to be woken.
                wakeAt = Math.min(wakeAt, now + tickMs);
                events.removeIf(event -> !(event instanceof Event.ClientDisconnected));
                concerned = List.of();
                if (batch.stream().allMatch(Event.ClientDisconnected.class::isInstance)) {
                    return;
                }
            }
        } while (!events.isEmpty());
    }

    private void act(Command command) {
        if (command instanceof Command.SendAttempt wanted) {
            send(wanted);
        } else if (command instanceof Command.CancelAttempt cancel) {
            OpenPart part = parts.get(cancel.partId());
            if (part != null && cancel.attemptNumber() < part.attempts.size()) {
                cancel(part.attempts.get(cancel.attemptNumber()));
            } else {
                events.add(
                        new Event.AttemptEnded(
                                cancel.partId(),
                                cancel.attemptNumber(),
                                AttemptOutcome.NEVER_SENT,
                                0,
                                null));
            }
        } else if (command instanceof Command.AnswerQuery answer) {
            OpenQuery openQuery = openQueriesById.get(answer.queryId());
            if (openQuery != null) {
                List<Answer.Value> values =
                        openQuery.parts.stream()
                                .filter(part -> part.value != null)
                                .map(part -> new Answer.Value(part.shard, part.value))
                                .toList();
                reply(openQuery, new Answer.Completed(answer.complete(), values), answer.reason());
            }
        } else if (command instanceof Command.RejectQuery rejection) {
            reply(
                    openQueriesById.get(rejection.queryId()),
                    new Answer.Rejected(rejection.retryAfterMs()),
                    rejection.reason());
        } else if (command instanceof Command.FailQuery failure) {
            reply(openQueriesById.get(failure.queryId()), new Answer.Failed(), failure.reason());
        } else if (command instanceof Command.ScheduleWakeUp wakeUp) {
            wakeAt = Math.min(wakeAt, now + wakeUp.delayMs());
        } else if (command instanceof Command.CheckHealth wanted) {
            probe.add(servers.get(wanted.server()));
        } else if (command instanceof Command.SubscribeToEndpoints) {
            askList = true;
        } else if (command instanceof Command.ConsumeAllowance consumed) {
            (consumed.limit().kind() == SharedLimit.Kind.TENANT_QUOTA ? uses : forNext).add(consumed);
        } else if (command instanceof Command.LogMessage note) {
            notes.add(note.text());
        }
    }

    private void send(Command.SendAttempt wanted) {
        OpenPart part = parts.get(wanted.partId());
        List<Command.ConsumeAllowance> takes = List.copyOf(forNext);
        forNext.clear();
        if (part == null) {
            return;
        }
        var attempt =
                new Attempt(
                        part,
                        servers.get(wanted.server()),
                        now,
                        wanted.timeoutMs(),
                        takes,
                        wanted.reason());
        part.attempts.add(attempt);
        if (part.query.over || wanted.timeoutMs() <= 0 || attempt.server() == null) {
            ended(attempt, AttemptOutcome.NEVER_SENT, null);
        } else {
            patience.add(attempt);
            send.add(attempt);
        }
    }

    private void cancel(Attempt attempt) {
        if (!attempt.pending) {
            return;
        }
        if (send.remove(attempt)) {
            ended(attempt, AttemptOutcome.NEVER_SENT, null);
        } else if (!cancel.contains(attempt)) {
            cancel.add(attempt);
        }
    }

    private void dispatchEnded(Attempt attempt, AttemptResult result) {
        if (!attempt.pending) {
            return;
        }
        if (result instanceof AttemptResult.Completed completed
                && !attempt.part.query.over
                && attempt.part.value == null) {
            attempt.part.value = completed.value();
        }
        ended(attempt, ending(result, attempt.timedOut), load(result));
    }

    private void ended(Attempt attempt, AttemptOutcome outcome, LoadReport load) {
        attempt.pending = false;
        attempt.neverRan = outcome.provesNeverRan();
        events.add(
                new Event.AttemptEnded(
                        attempt.part.id, attempt.number, outcome, now - attempt.sentAt, load));
        forget(attempt.part);
    }

    /** What an outcome says of whether the part ran; the rule on effects rests on it. */
    static AttemptOutcome ending(AttemptResult result, boolean patienceOver) {
        if (result instanceof AttemptResult.Completed) {
            return AttemptOutcome.COMPLETED;
        } else if (result instanceof AttemptResult.Failed) {
            return AttemptOutcome.ERROR;
        } else if (result instanceof AttemptResult.Rejected) {
            return AttemptOutcome.OVERLOADED;
        } else if (result instanceof AttemptResult.ConnectionLost lost) {
            return lost.progress() == WriteProgress.WRITTEN
                    ? AttemptOutcome.RESET
                    : AttemptOutcome.UNREACHABLE;
        } else if (((AttemptResult.Cancelled) result).progress() != WriteProgress.WRITTEN) {
            return AttemptOutcome.NEVER_SENT;
        }
        return patienceOver ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELLED;
    }

    private static LoadReport load(AttemptResult result) {
        Load load =
                result instanceof AttemptResult.Completed completed
                        ? completed.load()
                        : result instanceof AttemptResult.Failed faulty
                                ? faulty.load()
                                : result instanceof AttemptResult.Rejected away
                                        ? away.load()
                                        : null;
        return load == null ? null : new LoadReport(load.held(), load.queued(), load.busy());
    }

    private void reply(OpenQuery openQuery, Answer answer, Reason reason) {
        if (openQuery != null) {
            replies.add(new Commands.Reply(openQuery.query, answer, reason));
            close(openQuery);
        }
    }

    /** Ends a scan that the decisions failed on. */
    private void abandon(OpenQuery openQuery) {
        reply(openQuery, new Answer.Failed(), Reason.UNSTATED);
        openQuery.parts.forEach(part -> List.copyOf(part.attempts).forEach(this::cancel));
        events.add(new Event.ClientDisconnected(openQuery.query.id()));
    }

    private void close(OpenQuery openQuery) {
        openQuery.over = true;
        openQueriesById.remove(openQuery.query.id());
        openParts -= openQuery.parts.size();
        openQuery.parts.forEach(part -> part.value = null);
        openQuery.parts.forEach(this::forget);
        for (Attempt attempt : List.copyOf(send)) {
            if (attempt.part.query == openQuery) {
                cancel(attempt);
            }
        }
    }

    private void forget(OpenPart part) {
        if (part.query.over && !part.isPending()) {
            parts.remove(part.id, part);
        }
    }

    private Event.EndpointsUpdated listReceived(Observation.EndpointsUpdated list) {
        if (list.complete()) {
            servers.values().forEach(ShardServer::gone);
        }
        var held = new HashMap<>(servers);
        if (list.complete()) {
            servers.clear();
        }
        var listings = new ArrayList<Endpoint>();
        for (EndpointUpdate news : list.updates()) {
            ShardServer server = held.computeIfAbsent(news.name(), ShardServer::new);
            server.update(news.address(), news.state() == EndpointUpdate.State.RUNNING);
            // Fleets are replaced by servers of new names for good; parts out keep hold of theirs.
            if (news.state() == EndpointUpdate.State.GONE) {
                servers.remove(news.name());
            } else {
                servers.put(news.name(), server);
            }
            Endpoint.State mode =
                    switch (news.state()) {
                        case RUNNING -> Endpoint.State.RUNNING;
                        case DRAINING -> Endpoint.State.DRAINING;
                        case GONE -> Endpoint.State.GONE;
                    };
            listings.add(
                    new Endpoint(
                            news.name(),
                            news.replicaGroup(),
                            news.zone(),
                            news.startedAtMs(),
                            mode));
        }
        return new Event.EndpointsUpdated(list.complete(), List.copyOf(listings));
    }
}
