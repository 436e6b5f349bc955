package sprucehold.cluster.allowance;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.cluster.session.SessionSettings;
import sprucehold.decision.SharedLimit;

/** A gatherer of a fleet, with clocks that may be wrong. */
final class TestGatherer {
    final String name;
    double drift;
    double wallOffsetMs;
    CoordinationSession session;
    AllowanceTable allowances;
    double startedAtMs;

    TestGatherer(String name) {
        this.name = name;
    }

    double counted(double now) {
        return (now - startedAtMs) * (1 + drift);
    }

    double wall(double now) {
        return AllowanceTableTest.WALL + now + wallOffsetMs;
    }

    void start(double now, List<String> fleet, long seed) {
        startedAtMs = now;
        var sites = new TreeMap<String, String>();
        fleet.forEach(member -> sites.put(member, member.substring(0, 1)));
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
                        AllowanceTableTest.deployment(),
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

    int freeUnits(double now, SharedLimit limit) {
        return allowances.clusterView(counted(now), wall(now)).allowances().getOrDefault(limit, -1);
    }
}
