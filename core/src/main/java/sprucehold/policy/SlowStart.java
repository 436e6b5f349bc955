package sprucehold.policy;

import java.util.Random;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SharedLimit;

/**
 * Keeps what all gatherers send a shard server that is warming up within what it can take. Each
 * gatherer has its part of the slow-start budget; where that is less than one part's work, an
 * admission lottery decides who sends one part. Where the budget is a shared limit, the allowance
 * for it decides alone.
 */
final class SlowStart {
    /** How long what was sent is counted, in windows of the rule. */
    private static final double WINDOW_MARGIN = 1.2;

    /** Parts that the rule grants in a window beyond its budget. */
    private static final double GRANTED_PARTS = 2;

    /** Standard deviations by which the lottery's aim stays below what the rule grants. */
    private static final double LOTTERY_DEVIATIONS = 1.5;

    /** The least parts a window that a gatherer is taken to have for a server. */
    private static final double MIN_PARTS_PER_WINDOW = 0.3;

    /** Leaves room for traffic that grows or shifts. */
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
     * The portion of its full speed that a server has reached, from 0 to 1.
     *
     * @param startedAtMs when it started; 0 or less if long ago
     */
    static double speedPortion(Deployment.SlowStartRule rule, double startedAtMs, double nowMs) {
        double warmUpPortion = Math.min(1, Math.max(0, nowMs - startedAtMs) / rule.warmAfterMs());
        return startedAtMs <= 0 ? 1 : rule.startShare() + (1 - rule.startShare()) * warmUpPortion;
    }

    /** Whether a server may be sent a part of this class now. May draw the server's lottery. */
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
        double sentMs = window.workSinceMs(nowMs - WINDOW_MARGIN * rule.windowMs());
        // One core is the least that a server has. Other gatherers are taken to send as much.
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
     * The probability by which all gatherers together send a server, in one window, the parts of
     * its budget and {@value #GRANTED_PARTS}, less {@value #LOTTERY_DEVIATIONS} standard deviations
     * of their sum, and no more than its budget. A gatherer that has a part for the server in few
     * windows draws with a higher probability, and the others are taken to be like it.
     *
     * @param parts the budget of all gatherers in a window, in parts
     */
    private double lotteryProbability(double parts) {
        double aim = Math.min(parts, parts + GRANTED_PARTS - LOTTERY_DEVIATIONS * Math.sqrt(parts));
        double servers = Math.max(1, endpoints.runningServers());
        double partsPerWindow =
                sendRate.perMs(context.nowMs())
                        * context.deployment().slowStart().windowMs()
                        / servers;
        double expected = Math.max(MIN_PARTS_PER_WINDOW, TRAFFIC_MARGIN * partsPerWindow);
        return aim / context.deployment().gatherers() / (1 - Math.exp(-expected));
    }

    /** Accounts for an attempt. */
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
