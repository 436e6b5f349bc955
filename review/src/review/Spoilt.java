package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of shard servers are spoilt: the length of the frame doesn't fit, it is three too
 * small, or one too large with the next answer right behind. A client must not be served anything
 * other than the value made for its request.
 */
final class Spoilt {
    private static final int SPOILT_EVERY = 20;
    private static final int SERVICE_MS = 20;
    private static final int LONGEST_HOLD_MS = 100;

    private static final AtomicInteger received = new AtomicInteger();
    private static final AtomicInteger shortened = new AtomicInteger();
    private static final AtomicInteger lengthened = new AtomicInteger();

    /** Spoilt answers that wait for the next answer on their connection. */
    private static final Map<Kit.Link, byte[]> held = new ConcurrentHashMap<>();

    private Spoilt() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, Spoilt::play);
    }

    private static int play(Kit kit) throws Exception {
        List<Kit.Endpoint> endpoints = kit.endpoints(2, Spoilt::receive);
        var discovery = new Kit.Discovery(kit, "n0", endpoints);
        var gatherer = kit.new Gatherer(discovery, Kit.settings(), 1024);
        gatherer.awaitReady();
        var load = new Load(kit, gatherer.port, 0, 6, 50);
        load.start();
        Thread.sleep(20_000);
        load.stop();
        kit.log(
                received.get()
                        + " parts received; answers spoilt: "
                        + shortened.get()
                        + " too small, "
                        + lengthened.get()
                        + " too large");
        kit.log(load.wrongValues.get() + " wrong values served");
        return load.wrongValues.get() == 0 ? Kit.HELD : Kit.BROKEN;
    }

    private static void receive(Kit.Link link, Kit.Part part) {
        int number = received.incrementAndGet();
        byte[] content = Kit.answer(part.id(), "hit", Kit.value(part.body(), part.shard()));
        link.server.kit.timers.schedule(
                () -> answer(link, part, number, content), SERVICE_MS, TimeUnit.MILLISECONDS);
    }

    private static void answer(Kit.Link link, Kit.Part part, int number, byte[] content) {
        Kit kit = link.server.kit;
        if (!Kit.TROUBLE || number % SPOILT_EVERY != 0) {
            byte[] whole = Kit.frame(content, content.length);
            byte[] before = held.remove(link);
            link.write(before == null ? whole : joined(before, whole));
        } else if (number % (2 * SPOILT_EVERY) == 0) {
            shortened.incrementAndGet();
            kit.log("spoilt, length 3 too small: " + part.id() + " at " + link.server.name);
            link.write(Kit.frame(content, content.length - 3));
        } else {
            lengthened.incrementAndGet();
            kit.log("spoilt, length 1 too large: " + part.id() + " at " + link.server.name);
            held.put(link, Kit.frame(content, content.length + 1));
            kit.timers.schedule(
                    () -> {
                        byte[] alone = held.remove(link);
                        if (alone != null) {
                            link.write(alone);
                        }
                    },
                    LONGEST_HOLD_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] both = new byte[first.length + second.length];
        System.arraycopy(first, 0, both, 0, first.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }
}
