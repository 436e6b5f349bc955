package sprucehold.rig.run;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.load.Clients;
import sprucehold.rig.load.SiteBalancer;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.plan.Planner;
import sprucehold.rig.script.Script;
import sprucehold.rig.verdict.Figures;
import sprucehold.rig.verdict.Outcome;
import sprucehold.standin.ledger.Ledger;

/**
 * Runs only the clients of a script, against gatherers that were started elsewhere. The faults of
 * the script are ignored.
 */
public final class ClientsOnlyRun {
    private ClientsOnlyRun() {}

    /**
     * Sends all planned queries and returns the figures.
     *
     * @param to addresses of the gatherers; the clients of all sites send to them in turn
     */
    public static Figures run(
            Script script, long seed, List<SocketAddress> to, Consumer<String> progress)
            throws IOException {
        Plan plan = Planner.plan(script, seed);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        long startNanos = System.nanoTime();
        double startMs = System.currentTimeMillis();
        DoubleSupplier clock = () -> startMs + (System.nanoTime() - startNanos) / 1e6;
        var outcomes = new ArrayList<Outcome>();
        var done = new CompletableFuture<Void>();
        vertx.runOnContext(
                none -> {
                    Map<String, String> siteOf = new HashMap<>();
                    for (int i = 0; i < to.size(); i++) {
                        // All gatherers are in one site, so that each client sends to each
                        // gatherer.
                        siteOf.put("g" + i, "all");
                    }
                    var front = new SiteBalancer(siteOf, script.frontLearnsMs());
                    siteOf.keySet().forEach(front::ready);
                    double firstMs = clock.getAsDouble() + 50;
                    var clients =
                            new Clients(
                                    vertx,
                                    new ShapedConnections(vertx, clock, seed),
                                    clock,
                                    new Ledger(),
                                    script,
                                    front,
                                    name -> to.get(Integer.parseInt(name.substring(1))),
                                    name -> false,
                                    (query, atMs, end, sentLateMs) ->
                                            outcomes.add(
                                                    Outcomes.of(
                                                            script,
                                                            query,
                                                            firstMs,
                                                            atMs,
                                                            end,
                                                            sentLateMs)));
                    var nextQuery = new int[1];
                    vertx.setPeriodic(
                            1000,
                            id ->
                                    progress.accept(
                                            outcomes.size()
                                                    + " of "
                                                    + plan.asks().size()
                                                    + " ended"));
                    vertx.setPeriodic(
                            1,
                            id -> {
                                while (nextQuery[0] < plan.asks().size()
                                        && firstMs + plan.asks().get(nextQuery[0]).atMs()
                                                <= clock.getAsDouble()) {
                                    Plan.PlannedQuery query = plan.asks().get(nextQuery[0]++);
                                    clients.sendQuery(query, firstMs + query.atMs());
                                }
                                if (nextQuery[0] == plan.asks().size() && clients.open() == 0) {
                                    vertx.cancelTimer(id);
                                    clients.close();
                                    done.complete(null);
                                }
                            });
                });
        try {
            done.get();
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause()), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            vertx.close();
        }
        return Figures.of(outcomes, new Figures.Self(0, 0, 0, 0, 0, 0));
    }
}
