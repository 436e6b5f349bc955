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
 * The decision policy as plain calls that return at once with what to do.
 *
 * <p>The contract:
 *
 * <ul>
 *   <li>Each query submitted gets exactly one {@link Commands.Reply}, unless its client disconnects
 *       before. It comes within its time left even if the policy fails with an exception.
 *   <li>Each {@link Attempt} that was returned to be sent ends with exactly one {@link
 *       Observation.AttemptEnded}; what is observed of it after that is dropped.
 *   <li>An attempt to cancel still ends by an observation, which tells how far it was written.
 *   <li>{@link #tick} is called at the time that the last commands named, or soon after; each set
 *       of commands replaces the time named before.
 * </ul>
 *
 * <p>Times are in milliseconds of the caller's clock. Not safe for threads.
 */
public final class QueryCoordinator {
    private static final Logger LOG = Logger.getLogger(QueryCoordinator.class.getName());

    private static final Event WAKE_UP = new Event.WakeUp();
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final double SHORTEST_TICK_MS = 1;

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
     * @param policy what decides
     * @param deployment the deployment that holds at first
     */
    public QueryCoordinator(DecisionPolicy policy, Deployment deployment) {
        this.policy = policy;
        this.tickMs = Math.max(SHORTEST_TICK_MS, deployment.tickMs());
        adopt(deployment);
    }

    private void advanceTo(double newNowMs) {
        nowMs = newNowMs;
        lifecycle.advanceTo(newNowMs);
    }

    private void adopt(Deployment deployment) {
        maxOpenItems = deployment.limits().maxOpen();
        queryClasses =
                deployment.queryClasses().stream()
                        .collect(Collectors.toMap(QueryClass::name, Function.identity()));
        tenants =
                deployment.tenants().stream()
                        .collect(Collectors.toMap(Tenant::name, Function.identity()));
    }

    /** Another deployment holds from now on, in one step, for queries submitted from now on. */
    public Commands changeDeployment(double nowMs, Deployment deployment) {
        advanceTo(nowMs);
        adopt(deployment);
        openQueries.restrictClassesBy(deployment.queryClasses());
        events.add(new Event.DeploymentChanged(deployment));
        decide(List.of());
        return takeCommands();
    }

    /**
     * Another view of the cluster holds from now on; the policy is told with whatever it is told
     * next, and before that.
     */
    public void changeClusterView(ClusterView clusterView) {
        events.add(new Event.ClusterViewChanged(clusterView));
    }

    /** Whether a query of this id is still open, or an attempt for one is pending. */
    public boolean isOpen(Query query) {
        return openQueries.isOpen(query);
    }

    /** Queries and parts that count against the most that may be open. */
    public int openItems() {
        return openQueries.items();
    }

    /** Queries that have no final answer yet. */
    public int openQueries() {
        return openQueries.size();
    }

    /** The sizes of all collections together, for tests that look for leaks. */
    int trackedItems() {
        return lifecycle.trackedItems() + events.size();
    }

    int knownServers() {
        return endpoints.size();
    }

    /** As {@link #submit(double, Query, double)}, with all the time that the client waits. */
    public Commands submit(double nowMs, Query query) {
        return submit(nowMs, query, Double.POSITIVE_INFINITY);
    }

    /**
     * Takes a query of a known query class whose id isn't open. It gets exactly one reply, now or
     * later.
     *
     * @param maxTimeLeftMs the reply has to come within this time, in milliseconds, however long
     *     the client would wait
     */
    public Commands submit(double nowMs, Query query, double maxTimeLeftMs) {
        advanceTo(nowMs);
        QueryClass queryClass = queryClasses.get(query.queryClass());
        // A class may be gone by a change of the deployment since the query was read.
        if (openQueries.items() >= maxOpenItems || queryClass == null) {
            commands.reply(new Commands.Reply(query, new Answer.Rejected(0), Reason.UNSTATED));
            return takeCommands();
        }
        double timeLeftMs = Math.min(query.timeLeftMs(), maxTimeLeftMs);
        var openQuery = new OpenQuery(query, queryClass, nowMs + timeLeftMs);
        openQueries.add(openQuery);
        announce(openQuery, timeLeftMs);
        decide(List.of(openQuery));
        return takeCommands();
    }

    private void announce(OpenQuery openQuery, double timeLeftMs) {
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

    /** Takes what the network code saw, in the order given. */
    public Commands observe(double nowMs, List<Observation> observations) {
        advanceTo(nowMs);
        for (Observation observation : observations) {
            take(observation);
        }
        List<OpenQuery> concerned =
                observations.stream()
                        .filter(Observation.AttemptEnded.class::isInstance)
                        .map(ended -> ((Observation.AttemptEnded) ended).attempt().part().query)
                        .toList();
        decide(concerned);
        return takeCommands();
    }

    private void take(Observation observation) {
        if (observation instanceof Observation.AttemptEnded ended) {
            lifecycle.attemptEnded(ended.attempt(), ended.result());
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
                            ended.result().reportedLoad()));
        }
    }

    /** Lets time pass; to be called at the time that the last commands named, or soon after. */
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
        return commands.take(Math.min(wakeUpAtMs, lifecycle.nextDueAtMs()));
    }

    /**
     * Tells the policy what happened and carries out its commands, until nothing more has happened.
     *
     * @param concerned the queries that are failed if the policy fails on what it is told first
     */
    private void decide(List<OpenQuery> concerned) {
        List<OpenQuery> failedWithPolicy = concerned;
        do {
            addWakeUpIfDue();
            List<Event> batch = List.copyOf(events);
            events.clear();
            try {
                policy.decide(nowMs, batch).forEach(this::carryOut);
            } catch (RuntimeException | StackOverflowError e) {
                policyFailed(e, failedWithPolicy);
                failedWithPolicy = List.of();
                if (batch.stream().allMatch(Event.ClientDisconnected.class::isInstance)) {
                    return;
                }
            }
        } while (!events.isEmpty());
    }

    /** Whatever a call is for: once the time has come, no tick for it may follow. */
    private void addWakeUpIfDue() {
        if (wakeUpAtMs <= nowMs) {
            wakeUpAtMs = NEVER;
            if (!events.contains(WAKE_UP)) {
                events.add(WAKE_UP);
            }
        }
    }

    /** The policy may have lost the time at which it wanted to be woken, so it is woken soon. */
    private void policyFailed(Throwable failure, List<OpenQuery> concerned) {
        LOG.log(
                Level.SEVERE,
                "panic: the decision policy failed and the queries concerned are failed",
                failure);
        concerned.stream().filter(openQuery -> !openQuery.isOver()).forEach(lifecycle::fail);
        wakeUpAtMs = Math.min(wakeUpAtMs, nowMs + tickMs);
        events.removeIf(event -> !(event instanceof Event.ClientDisconnected));
    }

    private void carryOut(Command command) {
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
            commands.consume(allowance);
        } else if (command instanceof Command.LogMessage message) {
            commands.log(message.text());
        }
    }
}
