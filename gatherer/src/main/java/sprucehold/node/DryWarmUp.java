package sprucehold.node;

import java.util.ArrayList;
import java.util.List;
import sprucehold.clients.DryClient;
import sprucehold.picker.Orders;
import sprucehold.picker.Picker;
import sprucehold.picker.Report;
import sprucehold.picker.ServerNews;
import sprucehold.port.Deployment;
import sprucehold.port.Gatherer;
import sprucehold.shards.DryServers;

/**
 * Runs scans through decisions and codecs without any socket, on a clock of its own. For platforms
 * that grant a process no sockets within itself: there the first scan after a start, interpreted,
 * held the loop for half a second, and others were answered late.
 */
final class DryWarmUp {
    /**
     * Two wide scans make two hundred parts, after which most of what is called for each is
     * compiled; more starts later.
     */
    private static final int SCANS = 3;

    /** The widest scans that are rehearsed. */
    private static final int MOST_PARTS = 100;

    private DryWarmUp() {}

    /** Returns how many scans were answered. */
    static int run(NodeConfig config, Gatherer.Factory factory) {
        Deployment deployment = config.facts().deployment();
        var picker = new Picker(factory.start(config.seed(), deployment), deployment);
        var clients = new DryClient(config.facts().segments());
        var servers = new DryServers();
        var scans = new WarmUpScans(config);
        var list = new ArrayList<ServerNews>();
        for (int cell = 0; cell < deployment.layout().cells(); cell++) {
            for (String holder : List.of("a", "b")) {
                list.add(
                        new ServerNews(
                                holder + cell,
                                "127.0.0.1:1",
                                cell,
                                deployment.zone(),
                                0,
                                ServerNews.State.RUNNING));
            }
        }
        double now = 1;
        int answered = carry(picker.report(now, List.of(new Report.ListCame(true, list))), clients);
        for (int i = 0; i < SCANS; i++) {
            Orders orders = picker.pick(now, clients.read(scans.next(i % 2 == 0 ? MOST_PARTS : 5)));
            answered += carry(orders, clients);
            // A scan that takes longer than so many rounds is left to its time.
            for (int round = 0; round < 8 && picker.openScans() > 0; round++) {
                now += 20;
                List<Report> reports = servers.answered(orders.send(), now);
                orders = reports.isEmpty() ? picker.tick(now) : picker.report(now, reports);
                answered += carry(orders, clients);
            }
        }
        return answered;
    }

    private static int carry(Orders orders, DryClient clients) {
        orders.replies().forEach(reply -> clients.write(reply.answer()));
        return orders.replies().size();
    }
}
