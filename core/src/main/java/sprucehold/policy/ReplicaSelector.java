package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import sprucehold.decision.SkippedReplica;

/**
 * Selects the replica for a part: the one at the position of the part's query, or the least loaded
 * other replica if the first one may not be used or is suspect.
 */
final class ReplicaSelector {
    private final DecisionContext context;
    private final EndpointList endpoints;
    private final SuspectDetector suspects;
    private final SlowStart slowStart;
    private final Random random;

    ReplicaSelector(
            DecisionContext context,
            EndpointList endpoints,
            SuspectDetector suspects,
            SlowStart slowStart,
            Random random) {
        this.context = context;
        this.endpoints = endpoints;
        this.suspects = suspects;
        this.slowStart = slowStart;
        this.random = random;
    }

    /**
     * Returns the position whose servers have the least load. Chooses one at random if several
     * positions have the same load.
     */
    int selectPosition(ScheduledQuery query) {
        int positions =
                query.parts().stream()
                        .mapToInt(part -> endpoints.replicas(part.shard()).size())
                        .max()
                        .orElse(0);
        int best = 0;
        int ties = 0;
        double leastLoad = Double.POSITIVE_INFINITY;
        for (int position = 0; position < positions; position++) {
            double load = loadAt(query, position);
            if (load < leastLoad) {
                leastLoad = load;
                best = position;
                ties = 1;
            } else if (load == leastLoad) {
                ties++;
                if (random.nextInt(ties) == 0) {
                    best = position;
                }
            }
        }
        return best;
    }

    private double loadAt(ScheduledQuery query, int position) {
        return query.parts().stream()
                .map(part -> select(part, position))
                .filter(Objects::nonNull)
                .distinct()
                .mapToDouble(this::load)
                .sum();
    }

    /**
     * Returns the load of the server that would be selected for a part; infinite if there is none.
     */
    double loadOfSelected(ScheduledPart part) {
        ShardServerState server = select(part);
        return server == null ? Double.POSITIVE_INFINITY : load(server);
    }

    /**
     * Returns the load of a server: the number of this gatherer's pending attempts there, or of
     * their calls where parts share calls. Consecutive failures are added, because a server that
     * fails fast would otherwise look idle. An impaired server counts one more.
     */
    private double load(ShardServerState server) {
        List<PartAttempt> pending = server.pendingAttempts();
        boolean sharedCalls =
                context.deployment().layout().partsPerCall() > 1 && pending.size() > 1;
        double calls =
                sharedCalls
                        ? pending.stream().mapToDouble(PartAttempt::sentAtMs).distinct().count()
                        : pending.size();
        return calls
                + server.ejection().consecutiveFailures()
                + (suspects.isImpaired(server) ? 1 : 0);
    }

    /**
     * Returns the replica for a part: the one at its query's position, or the least loaded other
     * replica if that one may not be used or is suspect. Returns null if no replica may be used.
     */
    ShardServerState select(ScheduledPart part) {
        return select(part, part.query().position());
    }

    private ShardServerState select(ScheduledPart part, int position) {
        List<ShardServerState> replicas = endpoints.replicas(part.shard());
        if (replicas.isEmpty()) {
            return null;
        }
        ShardServerState preferred = replicas.get(position % replicas.size());
        if (!mayUse(preferred, part)) {
            return selectLeastLoaded(part);
        }
        // If there are many gatherers, each one sends to a server too rarely to eject it after
        // consecutive failures. A suspect server is therefore avoided as well.
        if (suspects.isSuspect(preferred)) {
            ShardServerState other = selectLeastLoaded(part);
            return other == null || suspects.isSuspect(other) ? preferred : other;
        }
        return preferred;
    }

    /**
     * Returns the least loaded replica that the part hasn't been sent to yet; null if no replica
     * may be used.
     */
    ShardServerState selectLeastLoaded(ScheduledPart part) {
        ShardServerState best = null;
        ShardServerState lastResort = null;
        boolean allUnavailable = true;
        for (ShardServerState server : endpoints.replicas(part.shard())) {
            allUnavailable &= !server.isRunning() || server.ejection().isEjected(context.nowMs());
            if (part.wasSentTo(server)) {
                continue;
            }
            if (mayUse(server, part)) {
                best = lessLoaded(best, server);
            } else if (server.isRunning()
                    && hasSlowStartBudget(server, part)
                    && server.pendingAttempts().isEmpty()) {
                lastResort = lessLoaded(lastResort, server);
            }
        }
        // Ejection never excludes all replicas of a shard. If every replica is ejected or not
        // running, each running replica gets one part at a time.
        return best == null && allUnavailable ? lastResort : best;
    }

    private ShardServerState lessLoaded(ShardServerState best, ShardServerState server) {
        return best == null || load(server) < load(best) ? server : best;
    }

    private boolean mayUse(ShardServerState server, ScheduledPart part) {
        return server.isRunning()
                && !server.ejection().isEjected(context.nowMs())
                && isBelowConcurrencyLimit(server, part.query())
                && hasSlowStartBudget(server, part);
    }

    /**
     * Returns whether a server is below its concurrency limit for a query. The query's own attempts
     * don't count, so that the limit never splits a round.
     */
    private static boolean isBelowConcurrencyLimit(ShardServerState server, ScheduledQuery query) {
        double limit = server.concurrencyLimit().value();
        double allowed = query.isOverQuota() ? limit / 2 : limit;
        return server.pendingOfOthers(query) < Math.max(1, allowed);
    }

    private boolean hasSlowStartBudget(ShardServerState server, ScheduledPart part) {
        return slowStart.hasBudget(server, part.query().queryClass());
    }

    /**
     * Returns the replicas that were skipped for a part, and the cause for each. This has no effect
     * on decisions, because the admission lotteries that are read here have already been drawn at
     * the current time.
     */
    List<SkippedReplica> skipped(ScheduledPart part, ShardServerState selected) {
        List<ShardServerState> replicas = endpoints.replicas(part.shard());
        int position = part.query().position() % replicas.size();
        if (part.attempts().isEmpty() && replicas.get(position) == selected) {
            return List.of();
        }
        var skipped = new ArrayList<SkippedReplica>(replicas.size());
        for (ShardServerState server : replicas) {
            SkippedReplica.Cause cause = skipCause(server, part);
            if (server != selected && cause != null) {
                skipped.add(new SkippedReplica(server.id(), cause));
            }
        }
        return skipped;
    }

    private SkippedReplica.Cause skipCause(ShardServerState server, ScheduledPart part) {
        if (!server.isRunning()) {
            return SkippedReplica.Cause.DRAINING;
        }
        if (part.wasSentTo(server)) {
            return SkippedReplica.Cause.ALREADY_TRIED;
        }
        if (server.ejection().isEjected(context.nowMs())) {
            return SkippedReplica.Cause.EJECTED;
        }
        if (!isBelowConcurrencyLimit(server, part.query())) {
            return SkippedReplica.Cause.AT_CONCURRENCY_LIMIT;
        }
        if (!hasSlowStartBudget(server, part)) {
            return SkippedReplica.Cause.AT_SLOW_START_BUDGET;
        }
        return suspects.isSuspect(server) ? SkippedReplica.Cause.SUSPECT : null;
    }
}
