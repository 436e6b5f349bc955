package sprucehold.policy;

import sprucehold.decision.ClusterView;
import sprucehold.decision.Deployment;

/**
 * What every mechanism may read and only {@link QueryScheduler} sets: the time of the current call,
 * the deployment and the cluster view.
 */
final class DecisionContext {
    private Deployment deployment;
    private ClusterView clusterView = ClusterView.NONE;
    private double nowMs;
    private boolean manyGatherers;

    DecisionContext(Deployment deployment) {
        this.deployment = deployment;
        this.manyGatherers = isMany(deployment.gatherers());
    }

    void beginCall(double nowMs) {
        this.nowMs = nowMs;
    }

    void replaceDeployment(Deployment deployment) {
        this.deployment = deployment;
    }

    void replaceClusterView(ClusterView view) {
        clusterView = view;
        manyGatherers = isMany(view.gatherers() > 0 ? view.gatherers() : deployment.gatherers());
    }

    /** The time of the current call, in milliseconds. */
    double nowMs() {
        return nowMs;
    }

    Deployment deployment() {
        return deployment;
    }

    /** How much other gatherers' observations speak against a shard server, 0 to 1. */
    double failureScore(String server) {
        return clusterView.failureScores().getOrDefault(server, 0.0);
    }

    /**
     * Whether there are more gatherers than a server's initial concurrency limit. Limits of one
     * attempt each then overfill a server, and only latencies tell of the load.
     */
    boolean manyGatherers() {
        return manyGatherers;
    }

    private static boolean isMany(int gatherers) {
        return gatherers > ConcurrencyLimit.INITIAL_LIMIT;
    }
}
