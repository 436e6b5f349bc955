package sprucehold.policy;

import java.util.HashMap;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.SharedLimit;

/** Remaining allowances of shared limits, as granted by the cluster view. */
final class SharedAllowances {
    private final CommandList commands;
    private Map<SharedLimit, Integer> remaining = new HashMap<>();

    SharedAllowances(CommandList commands) {
        this.commands = commands;
    }

    void replace(Map<SharedLimit, Integer> allowances) {
        remaining = new HashMap<>(allowances);
    }

    /** Returns the remaining units of a limit; null if the limit isn't shared. */
    Integer remaining(SharedLimit limit) {
        return remaining.get(limit);
    }

    /**
     * Returns the remaining milliseconds of work for a server that is warming up; null if its limit
     * isn't shared.
     */
    Integer remainingSlowStartMs(String server) {
        return remaining.isEmpty() ? null : remaining.get(SharedLimit.slowStart(server));
    }

    /**
     * Returns whether another retry or hedged request is within the limit, or the limit isn't
     * shared.
     */
    boolean allowsRetry() {
        return remaining.getOrDefault(SharedLimit.RETRIES, 1) > 0;
    }

    /** Consumes units of a limit if the limit is shared, even if fewer units remain. */
    void consume(SharedLimit limit, int units) {
        if (units > 0 && remaining.computeIfPresent(limit, (key, left) -> left - units) != null) {
            commands.add(new Command.ConsumeAllowance(limit, units));
        }
    }
}
