package sprucehold.policy;

import java.util.HashMap;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.SharedLimit;

/** What is left of the allowances that the cluster view granted of shared limits. */
final class SharedAllowances {
    private final CommandList commands;
    private Map<SharedLimit, Integer> remaining = new HashMap<>();

    SharedAllowances(CommandList commands) {
        this.commands = commands;
    }

    void replace(Map<SharedLimit, Integer> allowances) {
        remaining = new HashMap<>(allowances);
    }

    /** Units left of a limit; null where it isn't shared. */
    Integer remaining(SharedLimit limit) {
        return remaining.get(limit);
    }

    /** Milliseconds of work left for a server that is warming up; null where it isn't shared. */
    Integer remainingSlowStartMs(String server) {
        return remaining.isEmpty() ? null : remaining.get(SharedLimit.slowStart(server));
    }

    /** Whether another retry or hedged request is within the limit, or the limit isn't shared. */
    boolean allowRetry() {
        return remaining.getOrDefault(SharedLimit.RETRIES, 1) > 0;
    }

    /** Consumes units of a limit if it is shared, whether or not so many are left. */
    void consume(SharedLimit limit, int units) {
        if (units > 0 && remaining.computeIfPresent(limit, (of, left) -> left - units) != null) {
            commands.add(new Command.ConsumeAllowance(limit, units));
        }
    }
}
