package sprucehold.rig.run;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import sprucehold.rig.fault.FaultSchedule;
import sprucehold.rig.list.ServerList;
import sprucehold.rig.server.ServerHost;

/**
 * The shard servers of a run: their faults, and what discovery learns of their drains, deaths and
 * returns.
 */
final class ShardServerFleet {
    /**
     * Discovery learns so late that a server died, as health checks a second apart do on the mean.
     */
    private static final long DEATH_KNOWN_MS = 500;

    /** A supervisor starts a server again so long after it fell over. */
    private static final long STARTED_AGAIN_MS = 2000;

    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final ServerList list;
    private final List<String> names;
    private final List<ServerHost> hosts = new ArrayList<>();

    /**
     * @param names of all servers, in the order of their hosts
     */
    ShardServerFleet(Vertx vertx, DoubleSupplier clock, ServerList list, List<String> names) {
        this.vertx = vertx;
        this.clock = clock;
        this.list = list;
        this.names = names;
    }

    Future<Void> listen(ServerHost host) {
        hosts.add(host);
        return host.listen();
    }

    int number(String name) {
        int number = names.indexOf(name);
        if (number < 0) {
            throw new IllegalArgumentException("no shard server is called " + name);
        }
        return number;
    }

    int size() {
        return names.size();
    }

    /** The most that any server was asked of what it can stand. */
    double mostPushed() {
        return hosts.stream().mapToDouble(ServerHost::mostPushed).max().orElse(0);
    }

    void linksChanged() {
        hosts.forEach(ServerHost::linksChanged);
    }

    void change(String name, FaultSchedule.Change change) {
        host(name).change(change.begins(), change.what());
        switch (change.what().fault().kind()) {
            case DRAIN -> drains(name, change.begins());
            case DIE -> {
                if (change.begins()) {
                    died(name);
                } else {
                    isBack(name);
                }
            }
            default -> {}
        }
    }

    private ServerHost host(String name) {
        return hosts.get(number(name));
    }

    private void drains(String name, boolean begins) {
        ServerList.Entry entry = list.entry(name);
        list(
                entry,
                begins ? ServerList.Status.LEAVING : ServerList.Status.ACTIVE,
                entry.sinceMs(),
                entry.life());
    }

    private void list(ServerList.Entry entry, ServerList.Status status, double sinceMs, int life) {
        list.change(
                clock.getAsDouble(),
                new ServerList.Entry(
                        entry.name(), entry.site(), entry.cell(), status, sinceMs, life));
    }

    private void died(String name) {
        int life = host(name).life();
        vertx.setTimer(
                DEATH_KNOWN_MS,
                known -> {
                    ServerList.Entry entry = list.entry(name);
                    if (entry.life() == life && host(name).life() == life) {
                        list(entry, ServerList.Status.LEFT, entry.sinceMs(), life);
                    }
                });
    }

    private void isBack(String name) {
        list(list.entry(name), ServerList.Status.ACTIVE, clock.getAsDouble(), host(name).life());
    }

    /** A server ended by itself; its supervisor starts it again. */
    void fellOver(String name) {
        died(name);
        vertx.setTimer(
                STARTED_AGAIN_MS,
                waited -> {
                    host(name).comeBack();
                    isBack(name);
                });
    }

    List<Future<?>> close() {
        return new ArrayList<>(hosts.stream().map(ServerHost::close).toList());
    }
}
