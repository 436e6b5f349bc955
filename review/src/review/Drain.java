package review;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery is down for some seconds. At its return its agent has news of a server that drains, and
 * the open calls end instead of telling. Nothing new may be sent to that server later than the
 * grace after the return.
 */
final class Drain {
    private static final int ROUNDS = 4;
    private static final int OUTAGE_MS = 5000;

    /** The grace of the settings, and the slack of the protocol on sockets. */
    private static final double GRACE_MS = 250 + 50;

    private static final AtomicInteger late = new AtomicInteger();

    private Drain() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, Drain::play);
    }

    private static int play(Kit kit) throws Exception {
        ConcurrentMap<String, Kit.Endpoint> byName = new ConcurrentHashMap<>();
        List<Kit.Endpoint> endpoints =
                kit.endpoints(4, (link, part) -> receive(byName, link, part));
        endpoints.forEach(endpoint -> byName.put(endpoint.name, endpoint));
        var discovery = new Kit.Discovery(kit, endpoints);
        var gatherer = kit.new Gatherer(discovery, Kit.settings(), 1024);
        var load = new Load(kit, gatherer.port, 8, 40);
        load.start();
        Thread.sleep(3000);
        for (int round = 0; round < ROUNDS; round++) {
            if (Kit.TROUBLE) {
                discovery.goDown();
            }
            Thread.sleep(OUTAGE_MS);
            // One server of the first cell, then one of the second, and so on.
            discovery.comeBack(endpoints.get((round % 2) * 4 + round / 2), Kit.TROUBLE);
            Thread.sleep(6000);
        }
        load.stop();
        kit.log(late.get() + " attempts sent to a draining server after the grace");
        return late.get() == 0 ? Kit.HELD : Kit.BROKEN;
    }

    private static void receive(
            ConcurrentMap<String, Kit.Endpoint> byName, Kit.Link link, Kit.Part part) {
        Kit kit = link.server.kit;
        double toldAtMs = byName.get(link.server.name).toldDrainingAtMs;
        double sinceMs = kit.nowMs() - toldAtMs;
        if (toldAtMs >= 0 && sinceMs > 0) {
            boolean broken = sinceMs > GRACE_MS;
            if (broken) {
                late.incrementAndGet();
            }
            kit.log(
                    String.format(
                            "%s %s begins at %s, %.0f ms after the gatherer was told that it drains",
                            broken ? "TOO LATE:" : "within the grace:",
                            part.id(),
                            link.server.name,
                            sinceMs));
        }
        link.hit(part, 20);
    }
}
