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
 * Sightings of shard servers, one's own to be told and others' to be weighed. One liar, or one
 * gatherer whose own link is broken, moves nothing: it takes several observers, from more than one
 * site where there is more than one, and who sees most servers of a site failing is held to have
 * trouble on the way there rather than to have found so many failures.
 */
public final class EvidenceTable {
    /** Sightings fade by half in so long: about what a queue takes to fill or to drain. */
    static final double HALF_LIFE_MS = 5000;

    /** Below so much seen a sighting tells nothing: two dispatches may be chance. */
    private static final double MIN_ATTEMPTS = 2;

    /** Observers that it takes at the least: one may lie or be cut off, two may share a switch. */
    static final int MIN_OBSERVERS = 3;

    /**
     * Where an observer sees this share of a site's servers failing, it says nothing of any of
     * them.
     */
    private static final double OBSERVER_FAULT_SHARE = 0.5;

    /** Servers of a site that an observer has to have seen before that can be told. */
    private static final int MIN_SERVERS_OF_SITE = 3;

    /** An observer not heard of for so long has nothing to say any more. */
    private static final double EXPIRY_MS = 8 * HALF_LIFE_MS;

    private static final class Own {
        final String server;
        String site;
        double startedAtMs;
        double good;
        double bad;
        double atMs;

        Own(String server) {
            this.server = server;
        }

        void fade(double nowMs) {
            double left = Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
            good *= left;
            bad *= left;
            atMs = nowMs;
        }
    }

    private record Heard(Observation sighting, double atMs) {
        double fading(double nowMs) {
            return Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
        }

        boolean tells(double nowMs) {
            return (sighting.successes() + sighting.failures()) * fading(nowMs) >= MIN_ATTEMPTS;
        }

        double share() {
            return sighting.failures() / (sighting.successes() + sighting.failures());
        }
    }

    private final String self;
    private final String site;
    private final Map<String, Own> own = new LinkedHashMap<>();
    private final Map<String, Map<String, Heard>> byObserver = new TreeMap<>();
    private long sequenceNumber;

    public EvidenceTable(String self, String site) {
        this.self = self;
        this.site = site;
    }

    /** Notes how a dispatch of this gatherer's ended. */
    public void recordAttempt(
            double nowMs, String server, String serverSite, double startedAtMs, boolean well) {
        Own seen = own.computeIfAbsent(server, Own::new);
        if (seen.startedAtMs != startedAtMs) {
            seen.good = 0;
            seen.bad = 0;
        }
        seen.site = serverSite;
        seen.startedAtMs = startedAtMs;
        seen.fade(nowMs);
        if (well) {
            seen.good++;
        } else {
            seen.bad++;
        }
    }

    /**
     * This gatherer's sightings that tell something, the worst first: what fits into a message goes
     * along.
     */
    public List<Observation> observationsToSend(double nowMs, int most) {
        own.values().forEach(seen -> seen.fade(nowMs));
        own.values().removeIf(seen -> seen.good + seen.bad < 0.1);
        return own.values().stream()
                .filter(seen -> seen.good + seen.bad >= MIN_ATTEMPTS)
                .sorted((one, other) -> Double.compare(other.bad, one.bad))
                .limit(most)
                .map(
                        seen ->
                                new Observation(
                                        self,
                                        site,
                                        seen.server,
                                        seen.site,
                                        seen.startedAtMs,
                                        seen.good,
                                        seen.bad,
                                        ++sequenceNumber))
                .toList();
    }

    /**
     * Takes another's sighting; of one observer and server only the latest counts, and nobody tells
     * of this gatherer's own.
     */
    public void receive(double nowMs, Observation sighting) {
        boolean sound =
                sighting.successes() >= 0
                        && sighting.failures() >= 0
                        && Double.isFinite(sighting.successes() + sighting.failures());
        if (sighting.observer().equals(self) || !sound) {
            return;
        }
        byObserver
                .computeIfAbsent(sighting.observer(), none -> new TreeMap<>())
                .merge(
                        sighting.server(),
                        new Heard(sighting, nowMs),
                        (old, latest) ->
                                latest.sighting.sequenceNumber() > old.sighting.sequenceNumber()
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
     * What others' sightings of a server come to. The median of what observers saw, so that a
     * minority of liars moves it no further than the honest ones lie apart; at most 1, and 0 unless
     * enough observers, from enough sites, say so.
     *
     * @param startedAtMs when this gatherer's list says that the server started
     */
    public FailureAssessment assess(double nowMs, String server, double startedAtMs) {
        var shares = new ArrayList<Double>();
        Set<String> sites = new HashSet<>();
        Set<String> allSites = new HashSet<>(Set.of(site));
        for (Map<String, Heard> seen : byObserver.values()) {
            seen.values().forEach(heard -> allSites.add(heard.sighting.observerSite()));
            Heard heard = seen.get(server);
            if (heard != null
                    && heard.sighting.serverStartedAtMs() == startedAtMs
                    && heard.tells(nowMs)
                    && !isObserverFault(nowMs, seen, heard.sighting.serverSite())) {
                shares.add(heard.share());
                sites.add(heard.sighting.observerSite());
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
            double nowMs, Map<String, Heard> seen, String serverSite) {
        List<Heard> there =
                seen.values().stream()
                        .filter(
                                heard ->
                                        heard.sighting.serverSite().equals(serverSite)
                                                && heard.tells(nowMs))
                        .toList();
        long failing = there.stream().filter(heard -> heard.share() > 0.5).count();
        return there.size() >= MIN_SERVERS_OF_SITE
                && failing >= OBSERVER_FAULT_SHARE * there.size();
    }
}
