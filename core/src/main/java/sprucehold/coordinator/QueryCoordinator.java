package sprucehold.coordinator;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.Tenant;

/**
 * Non-blocking interface of the network code to the decision policy. Each call returns the commands
 * that the network code has to execute.
 *
 * <p>Contract:
 *
 * <ul>
 *   <li>Each submitted query gets exactly one {@link Commands.Reply}, unless its client disconnects
 *       first. The reply is returned within the remaining time of the query even if the policy
 *       throws an exception.
 *   <li>The network code reports exactly one {@link Observation.AttemptEnded} for each {@link
 *       Attempt} that it was told to send. Later observations of the attempt are ignored.
 *   <li>An attempt that the network code was told to cancel also ends with an observation, which
 *       states how much of the attempt was written.
 *   <li>The network code calls {@link #tick} at {@link Commands#nextTickAtMs} or soon after. Each
 *       set of commands replaces the time of the previous one.
 * </ul>
 *
 * <p>Times are in milliseconds on the caller's clock. Not thread-safe.
 */
public final class QueryCoordinator {
    private static final Logger LOG = Logger.getLogger(QueryCoordinator.class.getName());

    private static final Event WAKE_UP = new Event.WakeUp();
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final double MIN_TICK_MS = 1;

    private final DecisionPolicy policy;
    private final double tickMs;
    private int maxOpenItems;
    private Map<String, QueryClass> queryClasses;
    private Map<String, Tenant> tenants;

    private final EndpointDirectory endpoints = new EndpointDirectory();
    private final Queue<Event> events = new ArrayDeque<>();
    private final CommandBuffer commands = new CommandBuffer();
    private final QueryLifecycle lifecycle = new QueryLifecycle(endpoints, commands, events);
    private final OpenQueries openQueries = lifecycle.openQueries();

    private long queriesReceived;
    private double nowMs;
    private double wakeUpAtMs = NEVER;

    /**
     * @param policy the policy that makes the decisions
     * @param deployment the initial deployment
     */
    public QueryCoordinator(DecisionPolicy policy, Deployment deployment) {
        this.policy = policy;
        this.tickMs = Math.max(MIN_TICK_MS, deployment.tickMs());
        applyDeployment(deployment);
    }

    private void advanceTo(double newNowMs) {
        nowMs = newNowMs;
        lifecycle.advanceTo(newNowMs);
    }

    private void applyDeployment(Deployment deployment) {
        maxOpenItems = deployment.limits().maxOpen();
        queryClasses =
                deployment.queryClasses().stream()
                        .collect(Collectors.toMap(QueryClass::name, Function.identity()));
        tenants =
                deployment.tenants().stream()
                        .collect(Collectors.toMap(Tenant::name, Function.identity()));
    }

    /**
     * Switches to another deployment, which applies in full to all queries submitted from now on.
     */
    public Commands updateDeployment(double nowMs, Deployment deployment) {
        advanceTo(nowMs);
        applyDeployment(deployment);
        openQueries.restrictClassesBy(deployment.queryClasses());
        events.add(new Event.DeploymentChanged(deployment));
        decide(List.of());
        return takeCommands();
    }

    /**
     * Replaces the cluster view. The next call of the policy receives the change, before any event
     * that is added later.
     */
    public void changeClusterView(ClusterView clusterView) {
        events.add(new Event.ClusterViewChanged(clusterView));
    }

    /** Returns whether a query with the same id is open or has a pending attempt. */
    public boolean isOpen(Query query) {
        return openQueries.isOpen(query);
    }

    /**
     * Returns whether a closed query with the same id has a part that may have run and must not run
     * again. The latest such queries are known.
     */
    public boolean isSpent(Query query) {
        return openQueries.isSpent(query);
    }

    /** Returns the number of queries and parts that count towards the limit of open ones. */
    public int openQueriesAndParts() {
        return openQueries.queriesAndParts();
    }

    /** Returns the number of queries without a final answer. */
    public int openQueryCount() {
        return openQueries.size();
    }

    /** Returns the sum of the sizes of all collections, for tests that look for leaks. */
    int trackedItems() {
        return lifecycle.trackedItems() + events.size();
    }

    int listedServers() {
        return endpoints.size();
    }

    /** Submits a query whose deadline is limited only by the time that the client waits. */
    public Commands submit(double nowMs, Query query) {
        return submit(nowMs, query, Double.POSITIVE_INFINITY);
    }

    /**
     * Submits a query of a known query class. No query with the same id may be open. The query gets
     * exactly one reply, in the returned commands or in later ones.
     *
     * @param maxTimeLeftMs upper limit of the time until the reply, in milliseconds, even if the
     *     client waits longer
     */
    public Commands submit(double nowMs, Query query, double maxTimeLeftMs) {
        advanceTo(nowMs);
        QueryClass queryClass = queryClasses.get(query.queryClass());
        // A change of the deployment may have removed the class since the query was read.
        if (openQueries.queriesAndParts() >= maxOpenItems || queryClass == null) {
            commands.reply(new Commands.Reply(query, new Answer.Rejected(0), Reason.UNSTATED));
            return takeCommands();
        }
        double timeLeftMs = Math.min(query.timeLeftMs(), maxTimeLeftMs);
        var openQuery = new OpenQuery(query, queryClass, nowMs + timeLeftMs);
        openQueries.add(openQuery);
        addReceivedEvents(openQuery, timeLeftMs);
        decide(List.of(openQuery));
        return takeCommands();
    }

    private void addReceivedEvents(OpenQuery openQuery, double timeLeftMs) {
        Query query = openQuery.query;
        long number = ++queriesReceived;
        events.add(
                new Event.QueryReceived(
                        query.id(),
                        number,
                        openQuery.queryClass(),
                        tenants.get(query.tenant()),
                        timeLeftMs));
        for (int i = 0; i < openQuery.parts.size(); i++) {
            OpenPart part = openQuery.parts.get(i);
            double weight = query.parts().get(i).weight();
            events.add(new Event.PartReceived(part.id, number, part.shard, weight));
        }
    }

    /** Processes observations of the network code, in the order given. */
    public Commands observe(double nowMs, List<Observation> observations) {
        advanceTo(nowMs);
        for (Observation observation : observations) {
            handle(observation);
        }
        List<OpenQuery> affected =
                observations.stream()
                        .filter(Observation.AttemptEnded.class::isInstance)
                        .map(ended -> ((Observation.AttemptEnded) ended).attempt().part().query)
                        .toList();
        decide(affected);
        return takeCommands();
    }

    private void handle(Observation observation) {
        if (observation instanceof Observation.AttemptEnded ended) {
            lifecycle.attemptEnded(ended.attempt(), ended.result());
        } else if (observation instanceof Observation.AnswerDisproved disproved) {
            lifecycle.answerDisproved(disproved.attempt());
        } else if (observation instanceof Observation.ClientDisconnected disconnected) {
            lifecycle.clientDisconnected(disconnected.query());
        } else if (observation instanceof Observation.EndpointsUpdated update) {
            events.add(endpoints.update(update));
        } else if (observation instanceof Observation.EndpointsUnavailable) {
            events.add(new Event.EndpointsUnavailable());
        } else if (observation instanceof Observation.HealthCheckEnded ended) {
            events.add(
                    new Event.HealthCheckEnded(
                            ended.server().name(),
                            AttemptOutcomes.of(ended.result(), false),
                            ended.durationMs(),
                            ended.result().loadReport()));
        }
    }

    /**
     * Processes wake-ups, timeouts and deadlines. Call this method at the {@link
     * Commands#nextTickAtMs} of the last commands or soon after.
     */
    public Commands tick(double nowMs) {
        advanceTo(nowMs);
        events.add(WAKE_UP);
        decide(List.of());
        lifecycle.cancelTimedOut();
        lifecycle.failPastDeadline();
        if (!events.isEmpty()) {
            decide(List.of());
        }
        return takeCommands();
    }

    private Commands takeCommands() {
        return commands.takeAll(Math.min(wakeUpAtMs, lifecycle.nextExpiryAtMs()));
    }

    /**
     * Passes the events to the policy and executes its commands, until no more events are left.
     *
     * @param affected the queries to fail if the policy throws on the first batch of events
     */
    private void decide(List<OpenQuery> affected) {
        List<OpenQuery> queriesToFail = affected;
        do {
            addWakeUpIfDue();
            List<Event> batch = List.copyOf(events);
            events.clear();
            try {
                policy.decide(nowMs, batch).forEach(this::execute);
            } catch (RuntimeException | StackOverflowError e) {
                handlePolicyFailure(e, queriesToFail);
                queriesToFail = List.of();
                if (batch.stream().allMatch(Event.ClientDisconnected.class::isInstance)) {
                    return;
                }
            }
        } while (!events.isEmpty());
    }

    /**
     * Adds the wake-up event once the wake-up time is reached. Every call does this, not only a
     * tick: the wake-up time is cleared here, so the returned commands no longer request a tick for
     * it, and without the event the wake-up would be lost.
     */
    private void addWakeUpIfDue() {
        if (wakeUpAtMs <= nowMs) {
            wakeUpAtMs = NEVER;
            if (!events.contains(WAKE_UP)) {
                events.add(WAKE_UP);
            }
        }
    }

    /**
     * Fails the affected queries and schedules a wake-up within one tick, because the policy may
     * have lost its own wake-up time.
     */
    private void handlePolicyFailure(Throwable failure, List<OpenQuery> affected) {
        LOG.log(
                Level.SEVERE,
                "panic: the decision policy failed; failing the affected queries",
                failure);
        affected.stream().filter(openQuery -> !openQuery.isClosed()).forEach(lifecycle::fail);
        wakeUpAtMs = Math.min(wakeUpAtMs, nowMs + tickMs);
        events.removeIf(event -> !(event instanceof Event.ClientDisconnected));
    }

    private void execute(Command command) {
        if (command instanceof Command.SendAttempt send) {
            lifecycle.send(send);
        } else if (command instanceof Command.CancelAttempt cancel) {
            lifecycle.cancel(cancel);
        } else if (command instanceof Command.AnswerQuery answer) {
            lifecycle.answer(answer);
        } else if (command instanceof Command.RejectQuery reject) {
            lifecycle.reject(reject);
        } else if (command instanceof Command.FailQuery fail) {
            lifecycle.fail(fail);
        } else if (command instanceof Command.ScheduleWakeUp wakeUp) {
            wakeUpAtMs = Math.min(wakeUpAtMs, nowMs + wakeUp.delayMs());
        } else if (command instanceof Command.CheckHealth check) {
            commands.checkHealth(endpoints.find(check.server()));
        } else if (command instanceof Command.SubscribeToEndpoints) {
            commands.subscribe();
        } else if (command instanceof Command.ConsumeAllowance allowance) {
            commands.addConsumed(allowance);
        } else if (command instanceof Command.LogMessage message) {
            commands.log(message.text());
        }
    }
}
