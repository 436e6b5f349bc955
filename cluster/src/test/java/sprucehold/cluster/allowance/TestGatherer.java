package sprucehold.cluster.allowance;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.cluster.session.SessionSettings;
import sprucehold.decision.SharedLimit;

/** TestGatherer of a fleet, with clocks that may be wrong. */
final class TestGatherer {
    final String name;
    double drift;
    double offMs;
    CoordinationSession session;
    AllowanceTable allowances;
    double bornAt;

    TestGatherer(String name) {
        this.name = name;
    }

    double counted(double now) {
        return (now - bornAt) * (1 + drift);
    }

    double wall(double now) {
        return AllowanceTableTest.WALL + now + offMs;
    }

    void begin(double now, List<String> fleet, long seed) {
        bornAt = now;
        var sites = new TreeMap<String, String>();
        fleet.forEach(one -> sites.put(one, one.substring(0, 1)));
        session =
                new CoordinationSession(
                        new SessionSettings(Map.of(), 500, 5000),
                        name,
                        sites.get(name),
                        (long) wall(now),
                        sites,
                        seed,
                        0,
                        wall(now));
        allowances =
                new AllowanceTable(
                        AllowanceTableTest.facts(),
                        new AllowanceSettings(
                                name,
                                fleet,
                                AllowanceTableTest.ALL,
                                12,
                                AllowanceTableTest.WINDOW_MS,
                                300,
                                0.002,
                                10_000),
                        session,
                        0,
                        wall(now));
    }

    int room(double now, SharedLimit bound) {
        return allowances.clusterView(counted(now), wall(now)).allowances().getOrDefault(bound, -1);
    }
}
