package sprucehold.policy;

import java.util.List;
import java.util.Random;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;

/**
 * Makes all decisions of one gatherer, see docs/design.md. {@link #decide} is the only entry point,
 * and the package {@link sprucehold.decision} is the interface. This class passes each event to the
 * mechanism that handles it:
 *
 * <ul>
 *   <li>{@link QueryIntake} opens queries, and {@link OpenQueries} stores them;
 *   <li>{@link AdmissionQueue} and {@link Admission} start queries when there is capacity, and
 *       reject queries that would probably not be answered, based on {@link OverloadSignal} and
 *       {@link TenantQuotas};
 *   <li>{@link Rounds} sends the parts of a query in rounds; {@link CompletionEstimate} determines
 *       the width of the first round;
 *   <li>{@link ReplicaSelector} selects the replica of a part, based on {@link EndpointList},
 *       {@link OutlierEjection}, {@link ConcurrencyLimit}, {@link SuspectDetector} and {@link
 *       SlowStart};
 *   <li>{@link AttemptSender} sends and cancels attempts; {@link AttemptRules} and {@link
 *       RetryBudgetWindow} decide which retries are allowed; {@link LateDetector} detects late
 *       attempts, and {@link Hedging} sends hedged requests for their parts;
 *   <li>{@link AttemptResults} processes the results of attempts, and updates {@link
 *       LatencyStatistics} and the state of the servers;
 *   <li>{@link Completion} decides the final answer of each query;
 *   <li>{@link EndpointSubscriber} keeps the endpoint list up to date;
 *   <li>{@link Timers} run scheduled tasks.
 * </ul>
 */
public final class QueryScheduler implements DecisionPolicy {
    private final DecisionContext context;
    private final CommandList commands = new CommandList();
    private final Timers timers = new Timers();
    private final OpenQueries openQueries = new OpenQueries();
    private final LatencyStatistics latencies = new LatencyStatistics();
    private final SharedAllowances allowances = new SharedAllowances(commands);
    private final EndpointList endpoints;
    private final EndpointSubscriber endpointSubscriber;
    private final RetryBudgetWindow retryBudget;
    private final TenantQuotas quotas;
    private final AttemptSender sender;
    private final Hedging hedging;
    private final AttemptResults attemptResults;
    private final Completion completion;
    private final AdmissionQueue admissionQueue;
    private final QueryIntake intake;
    private final CapacityRechecks capacityRechecks;

    /**
     * Creates the scheduler of a gatherer without any open queries or known servers.
     *
     * @param seed the seed of all random choices of the scheduler
     */
    public QueryScheduler(long seed, Deployment deployment) {
        var random = new Random(seed);
        context = new DecisionContext(deployment);
        endpoints = new EndpointList(context);
        endpointSubscriber = new EndpointSubscriber(context, commands, timers, random);
        retryBudget = new RetryBudgetWindow(context, allowances);
        quotas = new TenantQuotas(context, allowances);
        capacityRechecks = new CapacityRechecks(context, timers);

        var suspects = new SuspectDetector(context);
        var slowStart = new SlowStart(context, latencies, allowances, endpoints, random);
        var replicas = new ReplicaSelector(context, endpoints, suspects, slowStart, random);
        var overloadSignal = new OverloadSignal(context, suspects, random);
        var estimate = new CompletionEstimate();
        var resetGuard = new ResetGuard(context);
        var rules = new AttemptRules(context, retryBudget);

        var lateParts = new LateParts();
        var hedgeBudget = new HedgeBudget();
        var lateDetector =
                new LateDetector(
                        context, timers, latencies, overloadSignal, suspects, estimate, lateParts);
        sender =
                new AttemptSender(
                        context,
                        commands,
                        replicas,
                        rules,
                        retryBudget,
                        hedgeBudget,
                        slowStart,
                        lateDetector);
        hedging =
                new Hedging(
                        context, lateParts, hedgeBudget, rules, replicas, overloadSignal, sender);

        var rounds = new Rounds(context, timers, replicas, sender, estimate, resetGuard);
        completion =
                new Completion(context, commands, openQueries, rules, sender, rounds, resetGuard);
        attemptResults =
                new AttemptResults(
                        context,
                        openQueries,
                        latencies,
                        overloadSignal,
                        suspects,
                        sender,
                        completion);
        var admission =
                new Admission(context, latencies, overloadSignal, quotas, endpoints, replicas);
        admissionQueue = new AdmissionQueue(context, openQueries, admission, rounds, completion);
        intake =
                new QueryIntake(
                        context, timers, openQueries, retryBudget, admissionQueue, completion);
        applyDeployment(deployment);
    }

    /**
     * Applies a deployment. The query classes of open queries change only where the new ones are
     * stricter.
     */
    private void applyDeployment(Deployment deployment) {
        context.replaceDeployment(deployment);
        latencies.addClasses(deployment.queryClasses());
        quotas.replaceTenants(deployment.tenants());
        openQueries.restrictClasses(deployment.queryClasses());
    }

    @Override
    public List<Command> decide(double nowMs, List<Event> events) {
        context.beginCall(nowMs);
        commands.beginCall();
        events.forEach(this::handle);
        retryBudget.expireRequests();
        timers.runDue(nowMs);
        sender.sendWaitingParts();
        if (sender.hasWaitingParts() || !admissionQueue.isEmpty()) {
            capacityRechecks.schedule();
        }
        hedging.sendHedges();
        admissionQueue.beginWaiting();
        timers.scheduleWakeUp(nowMs, commands);
        return commands.commands();
    }

    private void handle(Event event) {
        if (event instanceof Event.QueryReceived received) {
            intake.receive(received);
        } else if (event instanceof Event.PartReceived received) {
            intake.receive(received);
        } else if (event instanceof Event.AttemptEnded ended) {
            attemptResults.onAttemptEnded(ended);
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            onClientDisconnected(disconnected.queryId());
        } else if (event instanceof Event.EndpointsUpdated update) {
            boolean first = endpoints.isEmpty();
            endpoints.update(update);
            endpointSubscriber.onUpdate(first);
        } else if (event instanceof Event.EndpointsUnavailable) {
            endpointSubscriber.onUnavailable();
        } else if (event instanceof Event.ClusterViewChanged changed) {
            context.replaceClusterView(changed.view());
            allowances.replace(changed.view().allowances());
        } else if (event instanceof Event.DeploymentChanged changed) {
            applyDeployment(changed.deployment());
        }
    }

    private void onClientDisconnected(String queryId) {
        ScheduledQuery query = openQueries.byId(queryId);
        if (query != null) {
            completion.close(query, Reason.CLIENT_DISCONNECTED);
        }
    }
}
