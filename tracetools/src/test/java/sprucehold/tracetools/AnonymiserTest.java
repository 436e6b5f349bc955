package sprucehold.tracetools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import sprucehold.decision.Event;
import sprucehold.decision.Tenant;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.anonymise.Anonymiser;
import sprucehold.tracetools.merge.TraceMerge;
import sprucehold.tracetools.summary.TraceSummary;
import sprucehold.tracetools.synthetic.DayPlan;

public class AnonymiserTest {
    private static final String KEY = "a key of some letters";
    private Path folder;
    private Path file;
    private TraceHeader header;
    private List<Entry> entries;

    @BeforeClass
    public void simulateDay() throws IOException {
        folder = DayFiles.createFolder();
        file = folder.resolve("day.trace");
        TraceMerge.merge(
                DayFiles.simulate(folder, new DayPlan(3000, 21, 2, 1, 10, 4, 12, 12)),
                file,
                count -> {});
        try (TraceReader reader = TraceReader.open(file)) {
            header = reader.header();
            entries = DayFiles.readAll(reader.all());
        }
    }

    private Path anonymise(String key, String name) throws IOException {
        Path to = folder.resolve(name + ".trace");
        try (TraceReader reader = TraceReader.open(file)) {
            Anonymiser.anonymise(reader, key, to, count -> {});
        }
        return to;
    }

    /**
     * Returns the profile of each name that an observer sees: the numbers of queries by ten minutes
     * (the last number includes all later times) and by query class.
     */
    private static Map<String, double[]> profiles(List<Entry> trace) {
        Map<String, double[]> profiles = new TreeMap<>();
        double begin = trace.stream().mapToDouble(Entry::nowMs).min().orElse(0);
        for (Entry entry : trace) {
            for (Item item : entry instanceof PolicyCall call ? call.items() : List.<Item>of()) {
                if (item.event() instanceof Event.QueryReceived query && query.tenant() != null) {
                    double[] profile =
                            profiles.computeIfAbsent(query.tenant().name(), name -> new double[28]);
                    profile[Math.min(23, (int) ((entry.nowMs() - begin) / 600_000))]++;
                    profile[24 + Math.abs(query.queryClass().name().hashCode()) % 4] += 1;
                }
            }
        }
        profiles.remove("others");
        return profiles;
    }

    /**
     * Simulates an attacker who knows every tenant's true counts and rhythm. The attacker links
     * each pseudonym to the tenant with the nearest profile, best matches first and no tenant
     * twice. Ties are broken at random.
     *
     * @return share of pseudonyms that are linked to the right tenant
     */
    private static double attack(
            Map<String, double[]> knownProfiles,
            Map<String, double[]> observed,
            Map<String, String> truth,
            Random chance) {
        record Pair(String pseudonym, String tenant, double distance) {}
        var pairs = new ArrayList<Pair>();
        observed.forEach(
                (pseudonym, profile) ->
                        knownProfiles.forEach(
                                (tenant, trueProfile) -> {
                                    double distance = 0;
                                    for (int i = 0; i < profile.length; i++) {
                                        distance += Math.pow(profile[i] - trueProfile[i], 2);
                                    }
                                    pairs.add(new Pair(pseudonym, tenant, distance));
                                }));
        Collections.shuffle(pairs, chance);
        pairs.sort(java.util.Comparator.comparingDouble(Pair::distance));
        Map<String, String> linked = new HashMap<>();
        Set<String> linkedTenants = new HashSet<>();
        for (Pair pair : pairs) {
            if (!linked.containsKey(pair.pseudonym) && linkedTenants.add(pair.tenant)) {
                linked.put(pair.pseudonym, pair.tenant);
            }
        }
        long correct =
                linked.entrySet().stream()
                        .filter(link -> truth.get(link.getKey()).equals(link.getValue()))
                        .count();
        return (double) correct / observed.size();
    }

    @Test
    public void attackerLinksNineOfTenTenantsIfOnlyNamesAreReplaced() throws IOException {
        // Replaces only the names and keeps everything else.
        Map<String, double[]> knownProfiles = profiles(entries);
        Map<String, double[]> renamed = new TreeMap<>();
        Map<String, String> truth = new HashMap<>();
        knownProfiles.forEach(
                (tenant, profile) -> {
                    renamed.put("p" + tenant.hashCode(), profile);
                    truth.put("p" + tenant.hashCode(), tenant);
                });
        assertTrue(attack(knownProfiles, renamed, truth, new Random(1)) >= 0.9);
    }

    @Test
    public void attackerLinksPseudonymsNoBetterThanChance() throws IOException {
        Map<String, double[]> knownProfiles = profiles(entries);
        double sum = 0;
        double chance = 0;
        int keys = 60;
        for (int i = 0; i < keys; i++) {
            // The pseudonyms depend on the key, so each key is an independent sample.
            Path to = anonymise(KEY + i, "attacked");
            Map<String, double[]> observed = profiles(DayFiles.read(to));
            assertTrue(observed.size() >= 5, observed.keySet().toString());
            Map<String, String> truth = truth(KEY + i, knownProfiles.keySet());
            // The attacker even knows which tenants are large enough to have a pseudonym.
            var large = new TreeMap<>(knownProfiles);
            large.keySet()
                    .retainAll(new HashSet<>(observed.keySet().stream().map(truth::get).toList()));
            sum += attack(large, observed, truth, new Random(i));
            chance += 1.0 / observed.size();
        }
        // Adds three standard errors of the mean over all keys, and 0.01.
        double allowed = chance / keys + 3 * Math.sqrt(1.0 / 5 / keys / 5) + 0.01;
        assertTrue(sum / keys <= allowed, "linked " + sum / keys + ", by chance " + chance / keys);
    }

    /** Returns the tenant of each pseudonym, derived with the key as its holder can. */
    private static Map<String, String> truth(String key, Set<String> tenants) {
        Map<String, String> truth = new HashMap<>();
        try {
            for (String tenant : tenants) {
                var mac = javax.crypto.Mac.getInstance("HmacSHA256");
                mac.init(
                        new javax.crypto.spec.SecretKeySpec(
                                key.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
                mac.update("customer\0".getBytes(StandardCharsets.UTF_8));
                byte[] name = mac.doFinal(tenant.getBytes(StandardCharsets.UTF_8));
                truth.put("c-" + java.util.HexFormat.of().formatHex(name, 0, 8), tenant);
            }
        } catch (java.security.GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
        return truth;
    }

    @Test
    public void allPseudonymsHaveTheSameProfile() throws IOException {
        Map<String, double[]> observed = profiles(DayFiles.read(anonymise(KEY, "alike")));
        double[] first = observed.values().iterator().next();
        Map<String, double[]> byHour = new TreeMap<>();
        observed.forEach(
                (name, profile) -> {
                    double[] hours = new double[4];
                    for (int i = 0; i < 24; i++) {
                        hours[Math.min(3, i / 6)] += profile[i];
                    }
                    byHour.put(name, hours);
                    for (int i = 24; i < 28; i++) {
                        assertEquals(profile[i], first[i], name);
                    }
                });
        double[] hours = byHour.values().iterator().next();
        byHour.forEach((name, counts) -> assertEquals(counts, hours, name));
    }

    @Test
    public void anonymisedFileContainsNoOriginalNameOrId() throws IOException {
        Path to = anonymise(KEY, "clean");
        Set<String> names = new HashSet<>();
        header.sources()
                .forEach(
                        source -> {
                            names.add(source.gatherer() + "\"");
                            names.add(Long.toString(source.seed()));
                            source.deployment().tenants().stream()
                                    .map(Tenant::name)
                                    .forEach(names::add);
                        });
        for (Entry entry : entries) {
            for (Item item : ((PolicyCall) entry).items()) {
                if (item.event() instanceof Event.QueryReceived received) {
                    names.add(received.id());
                } else if (item.event() instanceof Event.EndpointsUpdated list) {
                    list.endpoints().forEach(server -> names.add("\"" + server.server() + "\""));
                }
            }
        }
        var text =
                new StringBuilder(new String(Files.readAllBytes(to), StandardCharsets.ISO_8859_1));
        DayFiles.read(to).forEach(entry -> text.append(entry));
        String all = text.toString();
        for (String name : names) {
            assertFalse(all.contains(name), name);
        }
    }

    @Test
    public void anonymisedFileCanBeVerifiedSearchedAndSummarised() throws IOException {
        Path to = anonymise(KEY, "useful");
        try (TraceReader reader = TraceReader.open(to);
                TraceReader original = TraceReader.open(file)) {
            assertTrue(reader.verify().valid(), reader.verify().problem());
            assertTrue(reader.header().anonymised() && !reader.header().lost().isEmpty());
            var after = new TraceSummary();
            after.add(reader, count -> {});
            var before = new TraceSummary();
            before.add(original, count -> {});
            assertTrue(after.all().queries() > 0.9 * before.all().queries());
            assertEquals(after.all().benefitRatio(), before.all().benefitRatio(), 0.01);
            assertEquals(after.all().percentileMs(50), before.all().percentileMs(50), 6);
            Event.QueryReceived first =
                    (Event.QueryReceived)
                            ((PolicyCall) DayFiles.read(to).get(0)).items().get(0).event();
            assertFalse(DayFiles.readAll(reader.ofQuery(first.id())).isEmpty());
        }
    }

    @Test
    public void sameKeyYieldsTheSameFileAndAnotherKeyOtherPseudonyms() throws IOException {
        byte[] once = Files.readAllBytes(anonymise(KEY, "once"));
        assertEquals(Files.readAllBytes(anonymise(KEY, "twice")), once);
        Set<String> one = profiles(DayFiles.read(folder.resolve("once.trace"))).keySet();
        Set<String> other =
                new HashSet<>(profiles(DayFiles.read(anonymise(KEY + "!", "other"))).keySet());
        other.retainAll(one);
        assertTrue(other.isEmpty(), other.toString());
        assertThrows(IllegalArgumentException.class, () -> anonymise("short", "none"));
    }
}
