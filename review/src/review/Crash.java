package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Bad clients send hundreds of requests at once, each with a body of the greatest length that the
 * protocol allows. The gatherer must not crash. Without the disruption the same requests come one
 * after the other.
 */
final class Crash {
    private static final int REQUESTS = 330;
    private static final int DESCRIPTORS = 1024;
    private static final int BODY_BYTES = 64 * 1024;

    private Crash() {}

    public static void main(String[] arguments) {
        Kit.run(arguments, Crash::play);
    }

    private static int play(Kit kit) throws Exception {
        List<Kit.Endpoint> endpoints = kit.endpoints(2, (link, part) -> link.hit(part, 20));
        var discovery = new Kit.Discovery(kit, "n0", endpoints);
        var gatherer = kit.new Gatherer(discovery, Kit.settings(), DESCRIPTORS);
        gatherer.awaitReady();
        var load = new Load(kit, gatherer.port, 0, 4, 50);
        load.start();
        Thread.sleep(4000);
        Kit.daemon(() -> recordMemory(kit, gatherer.process)).start();
        Kit.Counts answers = Kit.TROUBLE ? atOnce(kit, gatherer.port) : inTurn(kit, gatherer.port);
        Thread.sleep(4000);
        boolean alive = gatherer.process.isAlive();
        load.stop();
        kit.log(REQUESTS + " requests of 64 KiB: " + answers);
        if (!alive) {
            kit.log("the gatherer has crashed: exit " + gatherer.process.exitValue());
        }
        return alive ? Kit.HELD : Kit.BROKEN;
    }

    /** Records the gatherer's largest resident memory up to its end, where the system tells it. */
    private static void recordMemory(Kit kit, Process process) {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        String last = "unknown";
        try {
            while (process.isAlive()) {
                for (String line : Files.readAllLines(status)) {
                    last = line.startsWith("VmHWM") ? line.replaceAll("\\s+", " ") : last;
                }
                Thread.sleep(50);
            }
        } catch (IOException | InterruptedException e) {
            // The process has ended, or the system has no such file.
        }
        kit.log("largest resident memory of the gatherer: " + last);
    }

    private static String request(int i) {
        String body = "x".repeat(BODY_BYTES - 64);
        return Kit.query(String.format("%015xb", i), "offers", 3000, new int[] {i % 10}, body);
    }

    private static Kit.Counts atOnce(Kit kit, int port) throws Exception {
        var answers = new Kit.Counts();
        var clients = new ArrayList<Kit.Client>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(new Kit.Client(port, 6000));
        }
        var requests = new ArrayList<byte[]>();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(request(i).getBytes(StandardCharsets.UTF_8));
        }
        kit.log(REQUESTS + " connections are open; each sends a request of 64 KiB now");
        for (int i = 0; i < REQUESTS; i++) {
            write(clients.get(i), requests.get(i), 0, requests.get(i).length - 1);
        }
        // The last bytes go out together, so that a slow sender doesn't spread the requests.
        for (int i = 0; i < REQUESTS; i++) {
            write(clients.get(i), requests.get(i), requests.get(i).length - 1, 1);
        }
        kit.log(REQUESTS + " requests are sent");
        var done = new CountDownLatch(REQUESTS);
        for (Kit.Client client : clients) {
            Kit.daemon(
                            () -> {
                                answers.add(answer(client));
                                done.countDown();
                            })
                    .start();
        }
        done.await(8, TimeUnit.SECONDS);
        return answers;
    }

    private static void write(Kit.Client client, byte[] bytes, int from, int length) {
        try {
            client.socket.getOutputStream().write(bytes, from, length);
        } catch (IOException e) {
            // The connection is reset; its client gets no answer.
        }
    }

    private static Kit.Counts inTurn(Kit kit, int port) throws Exception {
        var answers = new Kit.Counts();
        kit.log(REQUESTS + " requests of 64 KiB come one after the other");
        for (int i = 0; i < REQUESTS; i++) {
            var client = new Kit.Client(port, 6000);
            client.send(request(i));
            answers.add(answer(client));
        }
        return answers;
    }

    private static String answer(Kit.Client client) {
        try (client) {
            return "" + client.receive().status();
        } catch (IOException e) {
            return "no answer";
        }
    }
}
