package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The list is asked for. Discovery is crowded while the gatherers start and refuses calls for some
 * seconds. Later all open watches fall silent, and a quarter of the shard servers begin to drain
 * right after. Nothing new may be sent to them later than the grace after the gatherer counts as
 * told.
 */
final class Drain {
    private static final int GATHERERS = 4;
    private static final int CROWDED_MS = 3000;
    private static final int SILENT_AFTER_MS = 13_000;
    private static final int DRAIN_GRACE_MS = 500;

    /** The grace of the settings, and the slack of the protocol on sockets. */
    private static final double GRACE_MS = DRAIN_GRACE_MS + 50;

    private static final AtomicInteger late = new AtomicInteger();
    private static final List<Kit.Discovery> discoveries = new ArrayList<>();
    private static final Map<String, Boolean> draining = new ConcurrentHashMap<>();

    private Drain() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, Drain::play);
    }

    private static int play(Kit kit) throws Exception {
        List<Kit.Endpoint> endpoints = kit.endpoints(4, Drain::receive);
        var gatherers = new ArrayList<Kit.Gatherer>();
        for (int i = 0; i < GATHERERS; i++) {
            var discovery = new Kit.Discovery(kit, "n" + i, endpoints);
            discovery.setCrowded(Kit.TROUBLE);
            discoveries.add(discovery);
            gatherers.add(
                    kit
                    .new Gatherer(
                            discovery,
                            Kit.settings(GATHERERS, "subscribe", DRAIN_GRACE_MS),
                            1024));
        }
        for (Kit.Gatherer gatherer : gatherers) {
            gatherer.awaitReady();
        }
        var loads = new ArrayList<Load>();
        for (int i = 0; i < GATHERERS; i++) {
            var load = new Load(kit, gatherers.get(i).port, i, 4, 60);
            load.start();
            loads.add(load);
        }
        Thread.sleep(CROWDED_MS);
        discoveries.forEach(discovery -> discovery.setCrowded(false));
        kit.log("discovery is no longer crowded");
        Thread.sleep(SILENT_AFTER_MS - CROWDED_MS);
        if (Kit.TROUBLE) {
            discoveries.forEach(Kit.Discovery::fallSilent);
        }
        for (Kit.Endpoint endpoint : List.of(endpoints.get(0), endpoints.get(4))) {
            endpoint.status = "leaving";
            endpoint.changedAt = 2;
            draining.put(endpoint.name, true);
            kit.log(endpoint.name + " begins to drain");
        }
        discoveries.forEach(discovery -> discovery.changed(2));
        Thread.sleep(20_000);
        for (Load load : loads) {
            load.stop();
        }
        for (int i = 0; i < GATHERERS; i++) {
            kit.log(
                    String.format(
                            "n%d counts as told at %.0f", i, discoveries.get(i).toldOfDrainsAtMs()));
        }
        kit.log(late.get() + " attempts sent to a draining server after the grace");
        return late.get() == 0 ? Kit.HELD : Kit.BROKEN;
    }

    private static void receive(Kit.Link link, Kit.Part part) {
        Kit kit = link.server.kit;
        if (draining.containsKey(link.server.name)) {
            int gatherer = Character.digit(part.id().charAt(0), 16);
            double sinceMs = kit.nowMs() - discoveries.get(gatherer).toldOfDrainsAtMs();
            boolean broken = sinceMs > GRACE_MS;
            if (broken) {
                late.incrementAndGet();
            }
            if (sinceMs > 0) {
                kit.log(
                        String.format(
                                "%s n%d sends %s to %s, %.0f ms after it counts as told that it"
                                        + " drains",
                                broken ? "TOO LATE:" : "within the grace:",
                                gatherer,
                                part.id(),
                                link.server.name,
                                sinceMs));
            }
        }
        link.hit(part, 20);
    }
}
