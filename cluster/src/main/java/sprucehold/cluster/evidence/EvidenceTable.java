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
 * Observations of shard servers: this gatherer's own to be sent, others' to be weighed. One liar,
 * or one gatherer whose own link is broken, moves nothing: it takes several observers, from more
 * than one site where there is more than one, and an observer that sees most servers of a site fail
 * is held to have a fault on the way there. The score is the median over the observers.
 */
public final class EvidenceTable {
    /** Observations fade by half in so long: about what a queue takes to fill or to drain. */
    static final double HALF_LIFE_MS = 5000;

    /** An observation of fewer attempts tells nothing: two may be chance. */
    private static final double MIN_ATTEMPTS = 2;

    /** An own observation that has faded to fewer attempts is forgotten. */
    private static final double FORGOTTEN_ATTEMPTS = 0.1;

    /** Observers that it takes at the least: one may lie or be cut off, two may share a switch. */
    static final int MIN_OBSERVERS = 3;

    /**
     * Where an observer sees this share of a site's servers failing, it says nothing of any of
     * them.
     */
    private static final double OBSERVER_FAULT_SHARE = 0.5;

    /** An observer sees a server failing above this share of failed attempts. */
    private static final double FAILING_SHARE = 0.5;

    /** Servers of a site that an observer has to have seen before that can be told. */
    private static final int MIN_SERVERS_OF_SITE = 3;

    /** An observer not heard of for so long has nothing to say any more. */
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

        void fade(double nowMs) {
            double left = Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
            successes *= left;
            failures *= left;
            atMs = nowMs;
        }
    }

    private record Received(Observation observation, double atMs) {
        double fading(double nowMs) {
            return Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
        }

        boolean tells(double nowMs) {
            return (observation.successes() + observation.failures()) * fading(nowMs)
                    >= MIN_ATTEMPTS;
        }

        double share() {
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
     * @param site where it stands
     */
    public EvidenceTable(String self, String site) {
        this.self = self;
        this.site = site;
    }

    /** Notes how an attempt of this gatherer's ended. */
    public void recordAttempt(
            double nowMs, String server, String serverSite, double startedAtMs, boolean completed) {
        OwnObservation seen = own.computeIfAbsent(server, OwnObservation::new);
        if (seen.startedAtMs != startedAtMs) {
            seen.successes = 0;
            seen.failures = 0;
        }
        seen.site = serverSite;
        seen.startedAtMs = startedAtMs;
        seen.fade(nowMs);
        if (completed) {
            seen.successes++;
        } else {
            seen.failures++;
        }
    }

    /**
     * This gatherer's observations that tell something, the worst first: what fits into a message
     * goes along.
     */
    public List<Observation> observationsToSend(double nowMs, int most) {
        own.values().forEach(seen -> seen.fade(nowMs));
        own.values().removeIf(seen -> seen.successes + seen.failures < FORGOTTEN_ATTEMPTS);
        return own.values().stream()
                .filter(seen -> seen.successes + seen.failures >= MIN_ATTEMPTS)
                .sorted((one, other) -> Double.compare(other.failures, one.failures))
                .limit(most)
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
     * Takes another's observation; of one observer and server only the latest counts, and nobody
     * tells of this gatherer's own.
     */
    public void receive(double nowMs, Observation observation) {
        boolean sound =
                observation.successes() >= 0
                        && observation.failures() >= 0
                        && Double.isFinite(observation.successes() + observation.failures());
        if (observation.observer().equals(self) || !sound) {
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
                .forEach(seen -> seen.values().removeIf(heard -> nowMs - heard.atMs > EXPIRY_MS));
        byObserver.values().removeIf(Map::isEmpty);
    }

    /** Those who are there; what others told before they went counts no more. */
    public void retainObservers(Collection<String> observers) {
        byObserver.keySet().retainAll(observers);
    }

    /**
     * What others' observations of a server come to. The median of what observers saw, so that a
     * minority of liars moves it no further than the honest ones lie apart; at most 1, and 0 unless
     * enough observers, from enough sites, say so.
     *
     * @param startedAtMs when this gatherer's endpoint list says that the server started
     */
    public FailureAssessment assess(double nowMs, String server, double startedAtMs) {
        var shares = new ArrayList<Double>();
        Set<String> sites = new HashSet<>();
        Set<String> allSites = new HashSet<>(Set.of(site));
        for (Map<String, Received> seen : byObserver.values()) {
            seen.values().forEach(heard -> allSites.add(heard.observation.observerSite()));
            Received heard = seen.get(server);
            if (heard != null
                    && heard.observation.serverStartedAtMs() == startedAtMs
                    && heard.tells(nowMs)
                    && !isObserverFault(nowMs, seen, heard.observation.serverSite())) {
                shares.add(heard.share());
                sites.add(heard.observation.observerSite());
            }
        }
        if (shares.size() < MIN_OBSERVERS || sites.size() < Math.min(2, allSites.size())) {
            return new FailureAssessment(0, shares.size(), sites.size());
        }
        shares.sort(null);
        // The lower of two middles: in doubt for the server.
        return new FailureAssessment(
                shares.get((shares.size() - 1) / 2), shares.size(), sites.size());
    }

    /**
     * Whether an observer sees so many servers of a site failing that the way there is at fault.
     */
    private static boolean isObserverFault(
            double nowMs, Map<String, Received> seen, String serverSite) {
        List<Received> there =
                seen.values().stream()
                        .filter(
                                heard ->
                                        heard.observation.serverSite().equals(serverSite)
                                                && heard.tells(nowMs))
                        .toList();
        long failing = there.stream().filter(heard -> heard.share() > FAILING_SHARE).count();
        return there.size() >= MIN_SERVERS_OF_SITE
                && failing >= OBSERVER_FAULT_SHARE * there.size();
    }
}
