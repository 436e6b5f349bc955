package sprucehold.policy;

import java.util.Random;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;

/** Requests endpoint updates, with exponential backoff and jitter while they are unavailable. */
final class EndpointSubscriber {
    private static final double BACKOFF_BASE_MS = 250;
    private static final int BACKOFF_MAX_DOUBLINGS = 6;

    /**
     * Maximum backoff, in milliseconds. A gatherer counts as informed of a change six seconds after
     * discovery has the change and can be reached. The interval between calls stays below this
     * time: the backoff with jitter is at most three seconds, and a call without an answer is
     * reported after one second.
     */
    private static final double BACKOFF_MAX_MS = 2000;

    /**
     * Lower bound of the jitter factor, which is drawn from this value up to this value plus one.
     */
    private static final double JITTER_MIN = 0.5;

    private final DecisionContext context;
    private final CommandList commands;
    private final Timers timers;
    private final Random random;
    private int consecutiveFailures;

    /**
     * Time of the next request, in milliseconds; infinite if none is scheduled. A failure before it
     * may bring it forward, but schedules no second one.
     */
    private double requestAtMs = Double.POSITIVE_INFINITY;

    EndpointSubscriber(
            DecisionContext context, CommandList commands, Timers timers, Random random) {
        this.context = context;
        this.commands = commands;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Handles an endpoint update, which shows that a call succeeded. It may be empty.
     *
     * @param first whether no server was known before the update
     */
    void onUpdate(boolean first) {
        consecutiveFailures = 0;
        if (first && context.deployment().endpointSubscription().mustSubscribe()) {
            commands.add(new Command.SubscribeToEndpoints(Reason.FIRST_ENDPOINTS));
        }
    }

    void onUnavailable() {
        double maxPollMs = context.deployment().endpointSubscription().maxPollIntervalMs();
        double maxMs = Math.min(BACKOFF_MAX_MS, maxPollMs / 2);
        int doublings = Math.min(consecutiveFailures, BACKOFF_MAX_DOUBLINGS);
        consecutiveFailures++;
        double backoffMs = Math.min(maxMs, BACKOFF_BASE_MS * Math.pow(2, doublings));
        double atMs = context.nowMs() + backoffMs * (JITTER_MIN + random.nextDouble());
        if (atMs < requestAtMs) {
            requestAtMs = atMs;
            timers.schedule(atMs, () -> requestIfDue(atMs));
        }
    }

    private void requestIfDue(double atMs) {
        if (atMs == requestAtMs) {
            requestAtMs = Double.POSITIVE_INFINITY;
            commands.add(new Command.SubscribeToEndpoints(Reason.ENDPOINTS_UNAVAILABLE));
        }
    }
}
