package sprucehold.policy;

import java.util.Random;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;

/** Asks for endpoint updates, with exponential backoff and jitter while they are unavailable. */
final class EndpointSubscriber {
    private static final double BACKOFF_BASE_MS = 250;
    private static final int BACKOFF_MAX_DOUBLINGS = 6;

    /**
     * With jitter and the time of an unanswered call it stays under the six seconds after which the
     * list's content counts as known.
     */
    private static final double BACKOFF_MAX_MS = 2000;

    /** Jitter is drawn from this portion of the backoff to this portion and one. */
    private static final double JITTER_MIN = 0.5;

    private final DecisionContext context;
    private final CommandList commands;
    private final Timers timers;
    private final Random random;
    private int consecutiveFailures;

    EndpointSubscriber(
            DecisionContext context, CommandList commands, Timers timers, Random random) {
        this.context = context;
        this.commands = commands;
        this.timers = timers;
        this.random = random;
    }

    /**
     * Notes an update.
     *
     * @param first whether no server was known before it
     */
    void onUpdate(boolean first) {
        if (first && context.deployment().endpointSubscription().mustSubscribe()) {
            commands.add(new Command.SubscribeToEndpoints(Reason.FIRST_ENDPOINTS));
        } else {
            consecutiveFailures = 0;
        }
    }

    void onUnavailable() {
        double maxPollMs = context.deployment().endpointSubscription().maxPollIntervalMs();
        double maxMs = Math.min(BACKOFF_MAX_MS, maxPollMs / 2);
        int doublings = Math.min(consecutiveFailures, BACKOFF_MAX_DOUBLINGS);
        consecutiveFailures++;
        double backoffMs = Math.min(maxMs, BACKOFF_BASE_MS * Math.pow(2, doublings));
        timers.at(
                context.nowMs() + backoffMs * (JITTER_MIN + random.nextDouble()),
                () -> commands.add(new Command.SubscribeToEndpoints(Reason.ENDPOINTS_UNAVAILABLE)));
    }
}
