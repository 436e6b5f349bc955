package sprucehold.policy;

import java.util.Random;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SharedLimit;

/**
 * Limits the work that all gatherers together send to a shard server that is warming up. Each
 * gatherer uses its share of the slow-start budget. If this share is less than the work of one
 * part, an admission lottery decides which gatherers send one part. If the budget is a shared
 * limit, only the allowance of this gatherer decides.
 */
final class SlowStart {
    /** Time for which sent work is counted, in windows of the slow-start rule. */
    private static final double COUNTED_WINDOWS = 1.2;

    /** Parts per window that the rule allows in addition to its budget. */
    private static final double GRANTED_PARTS = 2;

    /**
     * Standard deviations by which the target of the lottery stays below the number of parts that
     * the rule allows.
     */
    private static final double LOTTERY_DEVIATIONS = 1.5;

    /** Minimum number of parts per window that a gatherer is assumed to have for a server. */
    private static final double MIN_PARTS_PER_WINDOW = 0.3;

    /** Factor on the observed traffic that allows for traffic that grows or shifts. */
    private static final double TRAFFIC_MARGIN = 1.5;

    private final DecisionContext context;
    private final LatencyStatistics latencies;
    private final SharedAllowances allowances;
    private final EndpointList endpoints;
    private final Random random;
    private final SendRate sendRate = new SendRate();

    SlowStart(
            DecisionContext context,
            LatencyStatistics latencies,
            SharedAllowances allowances,
            EndpointList endpoints,
            Random random) {
        this.context = context;
        this.latencies = latencies;
        this.allowances = allowances;
        this.endpoints = endpoints;
        this.random = random;
    }

    /**
     * Returns the portion of its full speed that a server has reached, from 0 to 1.
     *
     * @param startedAtMs start time of the server, in milliseconds; 0 or less if the server started
     *     long ago
     */
    static double speedPortion(Deployment.SlowStartRule rule, double startedAtMs, double nowMs) {
        double warmUpPortion = Math.min(1, Math.max(0, nowMs - startedAtMs) / rule.warmAfterMs());
        return startedAtMs <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmUpPortion;
    }

    /**
     * Returns whether a part of a query class may be sent to a server now. May draw the admission
     * lottery of the server.
     */
    boolean hasBudget(ShardServerState server, QueryClass queryClass) {
        double speed = speedPortion(server);
        Integer shared = allowances.remainingSlowStartMs(server.id());
        if (shared != null) {
            return latencies.workMs(queryClass) <= shared;
        }
        return speed >= 1 || hasOwnBudget(server, speed, latencies.workMs(queryClass));
    }

    private boolean hasOwnBudget(ShardServerState server, double speed, double workMs) {
        Deployment.SlowStartRule rule = context.deployment().slowStart();
        double nowMs = context.nowMs();
        SlowStartWindow window = server.slowStartWindow();
        double sentMs = window.workSinceMs(nowMs - COUNTED_WINDOWS * rule.windowMs());
        // The budget is that of one core, because every server has at least one. The other
        // gatherers are assumed to send as much as this one.
        double budgetMs = rule.overloadFactor() * speed * rule.windowMs();
        if (sentMs + workMs <= budgetMs / context.deployment().gatherers()) {
            return true;
        }
        if (window.lotteryExpired(nowMs)) {
            boolean won = random.nextDouble() < lotteryProbability(budgetMs / workMs);
            window.setLottery(won, nowMs + rule.windowMs());
        }
        return window.lotteryWon() && sentMs == 0;
    }

    /**
     * Returns the probability with which this gatherer wins the lottery. With this probability, all
     * gatherers together send a server a target number of parts per window. The target is the
     * number of parts in the budget plus {@value #GRANTED_PARTS}, less {@value #LOTTERY_DEVIATIONS}
     * standard deviations of the total number of parts sent, and at most the number in the budget.
     * A gatherer that has a part for the server in few windows draws with a higher probability. The
     * other gatherers are assumed to have the same traffic.
     *
     * @param parts the budget of all gatherers in a window, in parts
     */
    private double lotteryProbability(double parts) {
        double targetParts =
                Math.min(parts, parts + GRANTED_PARTS - LOTTERY_DEVIATIONS * Math.sqrt(parts));
        double servers = Math.max(1, endpoints.runningServers());
        double partsPerWindow =
                sendRate.perMs(context.nowMs())
                        * context.deployment().slowStart().windowMs()
                        / servers;
        double expected = Math.max(MIN_PARTS_PER_WINDOW, TRAFFIC_MARGIN * partsPerWindow);
        return targetParts / context.deployment().gatherers() / (1 - Math.exp(-expected));
    }

    /** Records an attempt that is sent to a server. */
    void onSend(ShardServerState server, QueryClass queryClass) {
        sendRate.add(context.nowMs());
        if (speedPortion(server) < 1) {
            server.slowStartWindow().add(context.nowMs(), latencies.workMs(queryClass));
        }
        allowances.consume(
                SharedLimit.slowStart(server.id()), (int) Math.ceil(latencies.workMs(queryClass)));
    }

    private double speedPortion(ShardServerState server) {
        return speedPortion(
                context.deployment().slowStart(), server.startedAtMs(), context.nowMs());
    }
}
