package sprucehold.policy;

import sprucehold.decision.ClusterView;
import sprucehold.decision.Deployment;

/**
 * State that every mechanism may read and only {@link QueryScheduler} sets: the time of the current
 * call, the deployment and the cluster view.
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

    /** Returns the time of the current call, in milliseconds. */
    double nowMs() {
        return nowMs;
    }

    Deployment deployment() {
        return deployment;
    }

    /**
     * Returns the failure score of a shard server, from 0 to 1. The score summarizes the failures
     * that other gatherers have observed.
     */
    double failureScore(String server) {
        return clusterView.failureScores().getOrDefault(server, 0.0);
    }

    /**
     * Returns whether there are more gatherers than the initial concurrency limit of a server. The
     * limits can't prevent an overload then: the gatherers together overload a server even if each
     * of them has only one attempt pending there. Only latencies show the load.
     */
    boolean manyGatherers() {
        return manyGatherers;
    }

    private static boolean isMany(int gatherers) {
        return gatherers > ConcurrencyLimit.INITIAL_LIMIT;
    }
}
