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
 * The shard servers of a run: applies their faults, and reports their drains, crashes and restarts
 * to discovery.
 */
final class ShardServerFleet {
    /**
     * Delay until discovery reports that a server has crashed, in milliseconds. It is the mean
     * delay of health checks that run every second.
     */
    private static final long CRASH_DETECTION_MS = 500;

    /** Delay after which a supervisor starts a crashed server again, in milliseconds. */
    private static final long RESTART_DELAY_MS = 2000;

    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final ServerList serverList;
    private final List<String> names;
    private final List<ServerHost> hosts = new ArrayList<>();

    /**
     * @param names names of all servers, in the order of their hosts
     */
    ShardServerFleet(Vertx vertx, DoubleSupplier clock, ServerList serverList, List<String> names) {
        this.vertx = vertx;
        this.clock = clock;
        this.serverList = serverList;
        this.names = names;
    }

    Future<Void> listen(ServerHost host) {
        hosts.add(host);
        return host.listen();
    }

    int number(String name) {
        int number = names.indexOf(name);
        if (number < 0) {
            throw new IllegalArgumentException("no shard server is named " + name);
        }
        return number;
    }

    int size() {
        return names.size();
    }

    /**
     * Returns the highest peak load of any server while cold, as a share of the load at which it
     * crashes.
     */
    double peakColdLoad() {
        return hosts.stream().mapToDouble(ServerHost::peakColdLoad).max().orElse(0);
    }

    void linksChanged() {
        hosts.forEach(ServerHost::linksChanged);
    }

    void change(String name, FaultSchedule.Change change) {
        host(name).change(change.begins(), change.fault());
        switch (change.fault().fault().kind()) {
            case DRAIN -> setDraining(name, change.begins());
            case DIE -> {
                if (change.begins()) {
                    removeLater(name);
                } else {
                    addAgain(name);
                }
            }
            default -> {}
        }
    }

    private ServerHost host(String name) {
        return hosts.get(number(name));
    }

    private void setDraining(String name, boolean begins) {
        ServerList.Entry entry = serverList.entry(name);
        update(
                entry,
                begins ? ServerList.Status.LEAVING : ServerList.Status.ACTIVE,
                entry.sinceMs(),
                entry.life());
    }

    private void update(
            ServerList.Entry entry, ServerList.Status status, double sinceMs, int life) {
        serverList.change(
                clock.getAsDouble(),
                new ServerList.Entry(
                        entry.name(), entry.site(), entry.cell(), status, sinceMs, life));
    }

    private void removeLater(String name) {
        int life = host(name).life();
        vertx.setTimer(
                CRASH_DETECTION_MS,
                known -> {
                    ServerList.Entry entry = serverList.entry(name);
                    if (entry.life() == life && host(name).life() == life) {
                        update(entry, ServerList.Status.LEFT, entry.sinceMs(), life);
                    }
                });
    }

    private void addAgain(String name) {
        update(
                serverList.entry(name),
                ServerList.Status.ACTIVE,
                clock.getAsDouble(),
                host(name).life());
    }

    /** Handles a server that crashed from overload; its supervisor starts it again. */
    void fellOver(String name) {
        removeLater(name);
        vertx.setTimer(
                RESTART_DELAY_MS,
                waited -> {
                    host(name).restart();
                    addAgain(name);
                });
    }

    List<Future<?>> close() {
        return new ArrayList<>(hosts.stream().map(ServerHost::close).toList());
    }
}
