package sprucehold.rig.server;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.link.ShapedSocket;
import sprucehold.rig.plan.Addresses;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.standin.ledger.Ledger;
import sprucehold.standin.ledger.Seen;

/**
 * One scripted shard server on sockets. It listens at a separate address for each gatherer and
 * records arrivals and executions in the ledger.
 */
public final class ServerHost {
    private final Vertx vertx;
    private final ShapedConnections shapedConnections;
    private final DoubleSupplier clock;
    private final Ledger ledger;
    private final Addresses addresses;
    private final Script script;
    private final Plan.Server server;
    private final int number;
    private final List<String> gatherers;
    private final BiConsumer<String, Integer> openAttempts;
    private final Map<Integer, NetServer> listeners = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final List<Plan.TargetedFault> faults = new ArrayList<>();
    private final Runnable fellOver;
    private ServerModel model;
    private boolean alive = true;
    private int life;
    private double peakColdLoad;
    private long timer = -1;
    private double timerDueMs = Double.POSITIVE_INFINITY;

    /**
     * @param number index of the server in the plan
     * @param openAttempts receives the gatherer and the change in the number of its open attempts
     *     at this server: 1 for an arrival, negative for attempts that ended
     * @param fellOver runs when the server has crashed from overload
     */
    public ServerHost(
            Vertx vertx,
            ShapedConnections shapedConnections,
            DoubleSupplier clock,
            Ledger ledger,
            Addresses addresses,
            Script script,
            Plan plan,
            int number,
            BiConsumer<String, Integer> openAttempts,
            Runnable fellOver) {
        this.vertx = vertx;
        this.shapedConnections = shapedConnections;
        this.clock = clock;
        this.ledger = ledger;
        this.addresses = addresses;
        this.script = script;
        this.server = plan.servers().get(number);
        this.number = number;
        this.gatherers = plan.gatherers().stream().map(Plan.Gatherer::name).toList();
        this.openAttempts = openAttempts;
        this.fellOver = fellOver;
        this.model = new ServerModel(server.name(), script, server.seed(), 0);
    }

    /**
     * Starts to listen for each gatherer whose link doesn't refuse connections. Succeeds when the
     * server listens.
     */
    public Future<Void> listen() {
        var all = new ArrayList<Future<?>>();
        for (int i = 0; i < gatherers.size(); i++) {
            if (alive
                    && !listeners.containsKey(i)
                    && shapedConnections
                                    .linkFaults()
                                    .conditions(gatherers.get(i), server.name())
                                    .cut()
                            != Fault.Mode.REFUSED) {
                String gatherer = gatherers.get(i);
                NetServer listener =
                        vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                                .connectHandler(socket -> accepted(socket, gatherer));
                listeners.put(i, listener);
                all.add(
                        listener.listen(
                                addresses.serverPort(number, life), addresses.serversHost(i)));
            }
        }
        return Future.all(all).mapEmpty();
    }

    /**
     * Applies a change of the link faults: stops listening where connections are refused, and
     * listens again where they are not.
     */
    public void linksChanged() {
        for (int i = 0; i < gatherers.size(); i++) {
            if (listeners.containsKey(i)
                    && shapedConnections
                                    .linkFaults()
                                    .conditions(gatherers.get(i), server.name())
                                    .cut()
                            == Fault.Mode.REFUSED) {
                listeners.remove(i).close();
            }
        }
        listen();
    }

    /** Starts or ends a fault of this server. */
    public void change(boolean begins, Plan.TargetedFault fault) {
        if (fault.fault().kind() == Fault.Kind.DIE) {
            if (begins) {
                crash();
            } else {
                restart();
            }
            return;
        }
        if (begins) {
            faults.add(fault);
        } else {
            faults.remove(fault);
        }
        apply(model.change(clock.getAsDouble(), begins, fault));
    }

    /** Crashes the server: resets its connections and stops listening. */
    public void crash() {
        alive = false;
        model.crash();
        listeners.values().forEach(NetServer::close);
        listeners.clear();
        List.copyOf(connections).forEach(connection -> connection.socket.reset());
    }

    /** Starts the server again, cold and on another port. */
    public void restart() {
        alive = true;
        life++;
        peakColdLoad = peakColdLoad();
        model = new ServerModel(server.name(), script, server.seed() + life, clock.getAsDouble());
        faults.forEach(fault -> model.change(clock.getAsDouble(), true, fault));
        listen();
    }

    /**
     * Returns the peak load of the server while it was cold, over all its starts, as a share of the
     * load at which it crashes.
     */
    public double peakColdLoad() {
        return Math.max(peakColdLoad, model.peakColdLoad());
    }

    public int life() {
        return life;
    }

    public int connections() {
        return connections.size();
    }

    public Future<Void> close() {
        var all = new ArrayList<Future<?>>();
        listeners.values().forEach(listener -> all.add(listener.close()));
        List.copyOf(connections).forEach(connection -> connection.socket.reset());
        return Future.join(all).mapEmpty();
    }

    private void accepted(NetSocket socket, String gatherer) {
        if (!alive || connections.size() >= script.servers().connectionsMost()) {
            socket.close();
            return;
        }
        var connection = new Connection(gatherer);
        connections.add(connection);
        connection.socket = shapedConnections.shape(socket, gatherer, server.name(), connection);
    }

    private final class Connection implements ShapedSocket.Owner {
        private final String gatherer;
        private ShapedSocket socket;
        private Buffer read = Buffer.buffer();
        private int open;

        Connection(String gatherer) {
            this.gatherer = gatherer;
        }

        @Override
        public void received(Buffer bytes, double readMs) {
            read.appendBuffer(bytes);
            int offset = 0;
            while (read.length() - offset >= 4
                    && read.length() - offset >= 4 + read.getIntLE(offset)) {
                int length = read.getIntLE(offset);
                frame(read.getBytes(offset + 4, offset + 4 + length), readMs);
                offset += 4 + length;
            }
            read =
                    offset == read.length()
                            ? Buffer.buffer()
                            : read.getBuffer(offset, read.length());
        }

        @Override
        public void closed(boolean byPeer) {
            connections.remove(this);
            model.cancelAll(this);
            openAttempts.accept(gatherer, -open);
            open = 0;
        }

        private void frame(byte[] frame, double readMs) {
            String text = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
            switch (frame[0]) {
                case 'A' -> parts(text, readMs);
                case 'B' -> {
                    model.cancel(this, text);
                    attemptEnded();
                }
                case 'C' -> send("Chit");
                case 'D' -> send("D-");
                default -> {
                    send("Funknown letter");
                    socket.close();
                }
            }
        }

        private void parts(String text, double readMs) {
            int offset = 0;
            while (offset < text.length()) {
                int lineEnd = text.indexOf('\n', offset);
                String[] line = text.substring(offset, lineEnd).split(" ");
                int textEnd = lineEnd + 1 + Integer.parseInt(line[3]);
                String body = text.substring(lineEnd + 1, textEnd);
                String scan = line[0].substring(0, line[0].lastIndexOf('.'));
                int segment = Integer.parseInt(line[1]);
                double deadlineMs = Double.parseDouble(line[2].substring(2));
                ledger.add(
                        new Seen.Arrived(
                                readMs, gatherer, server.name(), scan, segment, deadlineMs));
                open++;
                openAttempts.accept(gatherer, 1);
                apply(
                        model.arrive(
                                clock.getAsDouble(),
                                new ServerModel.Arrival(
                                        this,
                                        gatherer,
                                        line[0],
                                        scan,
                                        segment,
                                        body.substring(0, Math.max(0, body.lastIndexOf('.'))),
                                        deadlineMs)));
                offset = textEnd;
            }
        }

        private void attemptEnded() {
            if (open > 0) {
                open--;
                openAttempts.accept(gatherer, -1);
            }
        }

        void send(String frame) {
            byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
            socket.write(
                    Buffer.buffer(4 + bytes.length).appendIntLE(bytes.length).appendBytes(bytes));
        }
    }

    private void apply(List<ServerModel.Effect> effects) {
        for (ServerModel.Effect effect : effects) {
            if (effect instanceof ServerModel.Effect.Ran ran) {
                ledger.add(
                        new Seen.Ran(
                                ran.atMs(),
                                server.name(),
                                ran.part().scan(),
                                ran.part().segment(),
                                ran.value()));
            } else if (effect instanceof ServerModel.Effect.Reply reply) {
                var to = (Connection) reply.to().link();
                to.attemptEnded();
                to.send("E" + reply.to().partId() + " " + reply.end() + " 0 -\n" + reply.value());
            } else if (effect instanceof ServerModel.Effect.Lost lost && lost.reset()) {
                ((Connection) lost.part().link()).socket.reset();
            } else if (effect instanceof ServerModel.Effect.FellOver fell) {
                ledger.add(new Seen.FellOver(fell.atMs(), server.name(), fell.workByGatherer()));
                crash();
                fellOver.run();
            }
        }
        scheduleTimer();
    }

    private void scheduleTimer() {
        double dueMs = alive ? model.nextMs() : Double.POSITIVE_INFINITY;
        if (dueMs != timerDueMs) {
            vertx.cancelTimer(timer);
            timerDueMs = dueMs;
            if (dueMs < Double.POSITIVE_INFINITY) {
                timer =
                        vertx.setTimer(
                                Math.max(1, (long) Math.ceil(dueMs - clock.getAsDouble())),
                                id -> {
                                    timerDueMs = Double.POSITIVE_INFINITY;
                                    apply(model.advanceTo(clock.getAsDouble()));
                                });
            }
        }
    }
}
