package sprucehold.cluster.evidence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Observations of shard servers: this gatherer's own observations, which are sent to the others,
 * and those of other gatherers, which are assessed.
 *
 * <p>A single observer that lies or whose own link is broken doesn't change a failure score. A
 * score requires several observers, from more than one site if there is more than one. An observer
 * that sees most servers of a site fail is assumed to have a fault on its way to that site, and its
 * observations of that site are ignored. The score is the median over the observers.
 */
public final class EvidenceTable {
    /**
     * Half-life of observations, in milliseconds: about the time that a queue takes to fill or to
     * drain.
     */
    static final double HALF_LIFE_MS = 5000;

    /**
     * Minimum number of attempts in an observation that counts, after decay. Two failures may be
     * chance; two attempts decay below this minimum as soon as time passes.
     */
    private static final double MIN_ATTEMPTS = 2;

    /** Number of attempts below which a decayed own observation is removed. */
    private static final double MIN_KEPT_ATTEMPTS = 0.1;

    /**
     * Minimum number of observers. One observer may lie or be cut off, and two may be connected to
     * the same faulty switch.
     */
    static final int MIN_OBSERVERS = 3;

    /**
     * Minimum share of the observed servers of a site that an observer must see failing for its
     * observations of all servers of that site to be ignored.
     */
    private static final double OBSERVER_FAULT_SHARE = 0.5;

    /** Share of failed attempts above which an observer counts as seeing a server fail. */
    private static final double FAILING_SHARE = 0.5;

    /**
     * Minimum number of servers of a site that an observer must have observed before it can be
     * found to have a fault on the way to that site.
     */
    private static final int MIN_SERVERS_OF_SITE = 3;

    /** Age at which an observation that was not renewed is removed, in milliseconds. */
    private static final double EXPIRY_MS = 8 * HALF_LIFE_MS;

    private static final class OwnObservation {
        final String server;
        String site;
        double startedAtMs;
        double successes;
        double failures;
        double atMs;

        OwnObservation(String server) {
            this.server = server;
        }

        void decay(double nowMs) {
            double left = Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
            successes *= left;
            failures *= left;
            atMs = nowMs;
        }
    }

    private record Received(Observation observation, double atMs) {
        double decay(double nowMs) {
            return Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
        }

        boolean hasEnoughAttempts(double nowMs) {
            return (observation.successes() + observation.failures()) * decay(nowMs)
                    >= MIN_ATTEMPTS;
        }

        double failureShare() {
            return observation.failures() / (observation.successes() + observation.failures());
        }
    }

    private final String self;
    private final String site;
    private final Map<String, OwnObservation> own = new LinkedHashMap<>();
    private final Map<String, Map<String, Received>> byObserver = new TreeMap<>();
    private long sequenceNumber;

    /**
     * @param self this gatherer's name
     * @param site this gatherer's site
     */
    public EvidenceTable(String self, String site) {
        this.self = self;
        this.site = site;
    }

    /** Records whether an attempt of this gatherer completed. */
    public void recordAttempt(
            double nowMs, String server, String serverSite, double startedAtMs, boolean completed) {
        OwnObservation seen = own.computeIfAbsent(server, OwnObservation::new);
        if (seen.startedAtMs != startedAtMs) {
            seen.successes = 0;
            seen.failures = 0;
        }
        seen.site = serverSite;
        seen.startedAtMs = startedAtMs;
        seen.decay(nowMs);
        if (completed) {
            seen.successes++;
        } else {
            seen.failures++;
        }
    }

    /**
     * Returns this gatherer's observations with enough attempts, the one with the most failures
     * first.
     *
     * @param max maximum number of observations, as many as fit into a message
     */
    public List<Observation> observationsToSend(double nowMs, int max) {
        own.values().forEach(seen -> seen.decay(nowMs));
        own.values().removeIf(seen -> seen.successes + seen.failures < MIN_KEPT_ATTEMPTS);
        return own.values().stream()
                .filter(seen -> seen.successes + seen.failures >= MIN_ATTEMPTS)
                .sorted((one, other) -> Double.compare(other.failures, one.failures))
                .limit(max)
                .map(
                        seen ->
                                new Observation(
                                        self,
                                        site,
                                        seen.server,
                                        seen.site,
                                        seen.startedAtMs,
                                        seen.successes,
                                        seen.failures,
                                        ++sequenceNumber))
                .toList();
    }

    /**
     * Adds an observation of another gatherer. Only the latest observation of each observer and
     * server counts. Received observations in this gatherer's own name are ignored.
     */
    public void receive(double nowMs, Observation observation) {
        boolean valid =
                observation.successes() >= 0
                        && observation.failures() >= 0
                        && Double.isFinite(observation.successes() + observation.failures());
        if (observation.observer().equals(self) || !valid) {
            return;
        }
        byObserver
                .computeIfAbsent(observation.observer(), none -> new TreeMap<>())
                .merge(
                        observation.server(),
                        new Received(observation, nowMs),
                        (old, latest) ->
                                latest.observation.sequenceNumber()
                                                > old.observation.sequenceNumber()
                                        ? latest
                                        : old);
        byObserver
                .values()
                .forEach(seen -> seen.values().removeIf(each -> nowMs - each.atMs > EXPIRY_MS));
        byObserver.values().removeIf(Map::isEmpty);
    }

    /**
     * Removes the observations of all observers other than those given, which are the ones
     * currently alive.
     */
    public void retainObservers(Collection<String> observers) {
        byObserver.keySet().retainAll(observers);
    }

    /**
     * Assesses a server by the observations of other gatherers. The score is the median of the
     * observers' shares of failures, so that a minority of lying observers can't move it beyond the
     * range of the honest ones. It is at most 1, and 0 unless there are enough observers from
     * enough sites.
     *
     * @param startedAtMs time at which the server started according to this gatherer's endpoint
     *     list
     */
    public FailureAssessment assess(double nowMs, String server, double startedAtMs) {
        var shares = new ArrayList<Double>();
        Set<String> sites = new HashSet<>();
        Set<String> allSites = new HashSet<>(Set.of(site));
        for (Map<String, Received> seen : byObserver.values()) {
            seen.values().forEach(received -> allSites.add(received.observation.observerSite()));
            Received received = seen.get(server);
            if (received != null
                    && received.observation.serverStartedAtMs() == startedAtMs
                    && received.hasEnoughAttempts(nowMs)
                    && !isObserverFault(nowMs, seen, received.observation.serverSite())) {
                shares.add(received.failureShare());
                sites.add(received.observation.observerSite());
            }
        }
        if (shares.size() < MIN_OBSERVERS || sites.size() < Math.min(2, allSites.size())) {
            return new FailureAssessment(0, shares.size(), sites.size());
        }
        shares.sort(null);
        // Takes the lower of two middle values, in favour of the server if in doubt.
        return new FailureAssessment(
                shares.get((shares.size() - 1) / 2), shares.size(), sites.size());
    }

    /**
     * Whether an observer sees so many servers of a site fail that the fault is likely on its way
     * to that site.
     */
    private static boolean isObserverFault(
            double nowMs, Map<String, Received> seen, String serverSite) {
        List<Received> ofSite =
                seen.values().stream()
                        .filter(
                                received ->
                                        received.observation.serverSite().equals(serverSite)
                                                && received.hasEnoughAttempts(nowMs))
                        .toList();
        long failing =
                ofSite.stream().filter(received -> received.failureShare() > FAILING_SHARE).count();
        return ofSite.size() >= MIN_SERVERS_OF_SITE
                && failing >= OBSERVER_FAULT_SHARE * ofSite.size();
    }
}
