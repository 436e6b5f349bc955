import java.util.List;
import java.util.Locale;

import stage.Discovery;
import stage.Settings;
import stage.ShardServer;
import stage.Stage;
import stage.Usual;

/**
 * The open connections to discovery fall silent, and a quarter of the shard servers begin to drain
 * right after: does a draining server get parts after its drain counts as told?
 */
public final class Silent {
    private static final double GRACE_MS = 500;
    private static final double SLACK_MS = 50;
    private static final double TOLD_AFTER_WAIT_MS = 2000;
    private static final double TOLD_AFTER_SILENCE_MS = 6000;

    private Silent() {}

    /** Runs the case in its folder. */
    public static void main(String[] arguments) {
        Stage.play(arguments, Silent::run);
    }

    private static String run(Stage stage) throws Exception {
        List<ShardServer> servers = ShardServer.fleet(stage, 12, Settings.GROUPS, 20);
        var discovery = new Discovery(stage, servers);
        Stage.Gatherer gatherer = stage.startGatherer("n0", discovery, Settings.ASKED);
        var usual = new Usual(stage, gatherer.port(), 4, 40);
        Thread.sleep(3000);
        double silentMs = stage.nowMs();
        if (Stage.trouble()) {
            discovery.fallSilent();
        }
        Thread.sleep(100);
        List<ShardServer> draining = servers.subList(0, servers.size() / 4);
        discovery.drain(draining);
        double latestMs =
                Math.max(
                        silentMs + TOLD_AFTER_SILENCE_MS,
                        discovery.waitEndsMs() + TOLD_AFTER_WAIT_MS);
        while (stage.nowMs() < latestMs + 4000) {
            Thread.sleep(100);
        }
        usual.end();
        double toldMs = Math.min(discovery.toldMs(), latestMs);
        stage.log(
                String.format(
                        Locale.ROOT,
                        "the drain counts as told at %.1f, and was told at %.1f",
                        toldMs,
                        discovery.toldMs()));
        int late = 0;
        double lastMs = 0;
        for (ShardServer server : draining) {
            for (ShardServer.Part part : server.parts()) {
                double afterMs = part.atMs() - toldMs;
                if (afterMs > GRACE_MS + SLACK_MS) {
                    late++;
                    lastMs = Math.max(lastMs, afterMs);
                    stage.log(
                            String.format(
                                    Locale.ROOT,
                                    "part %s arrived at a draining server at %.1f, %.1f ms after its"
                                            + " drain counts as told",
                                    part.id(),
                                    part.atMs(),
                                    afterMs));
                }
            }
        }
        return late == 0
                ? null
                : late
                        + " parts were sent to draining servers up to "
                        + Math.round(lastMs)
                        + " ms after their drain counts as told";
    }
}
