package sprucehold.shards;

import io.netty.channel.Channel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.WriteProgress;
import sprucehold.sockets.UnreadInput;
import sprucehold.sockets.UnsentOutput;

/** One connection to a shard server, from the dial to its end, and all parts that are out on it. */
final class ShardConnection {
    private static final Logger LOG = Logger.getLogger(ShardConnection.class.getName());

    /** What a link tells its owner. */
    interface Owner {
        double now();

        boolean clientWaits(Query query);

        void begun(Attempt attempt);

        void ended(Attempt attempt, AttemptResult result);

        void probeEnded(ShardConnection link, AttemptResult result, double tookMs);

        void up(ShardConnection link);

        /**
         * Calls wait on it that can be written now: {@link #writeWaiting} is due in the next turn.
         */
        void turnWanted(ShardConnection link);

        /** The link is over; {@code neverUp} if the dial failed. */
        void closed(ShardConnection link, boolean neverUp, String why);
    }

    private static final class Flight {
        final Attempt attempt;
        final double writtenAt;

        /**
         * Succeeds once the last byte of its frame is handed over; fails if that never came to be.
         */
        Future<Void> write;

        Flight(Attempt attempt, double writtenAt) {
            this.attempt = attempt;
            this.writtenAt = writtenAt;
        }
    }

    private final Owner owner;
    private final String address;
    private final int mostParts;

    /**
     * Calls that wait for the connection to come up, or for the system to take what was written
     * before; each with parts of one scan.
     */
    private final Queue<List<Attempt>> waiting = new ArrayDeque<>();

    private final Map<String, Flight> flights = new LinkedHashMap<>();

    /**
     * Parts called off whose answers may still come, the longest-standing first. A server that
     * stood still for minutes answers all that it held, and that is no noise; so not time bounds
     * them but their number.
     */
    private final Set<String> cancelled = new LinkedHashSet<>();

    /** More than a server of the usual size runs and queues, for all gatherers together. */
    private static final int MOST_CANCELLED = 1024;

    /** When each probe that has no answer yet was sent. */
    private final Queue<Double> probes = new ArrayDeque<>();

    /** Probes that wait for the connection to come up, and whether they ask for the load. */
    private final List<Boolean> waitingProbes = new ArrayList<>();

    private int waitingParts;
    private NetSocket socket;
    private double heardAt;
    private double idleSince;
    private boolean doubtful;
    private boolean over;
    private boolean spoilt;
    private FrameReader reader;

    ShardConnection(Owner owner, String address, int mostParts) {
        this.owner = owner;
        this.address = address;
        this.mostParts = mostParts;
    }

    void dialled(Future<NetSocket> dial) {
        dial.onComplete(this::opened, failure -> close(true, failure.getMessage()));
    }

    String address() {
        return address;
    }

    private void opened(NetSocket opened) {
        if (over) {
            opened.close();
            return;
        }
        socket = opened;
        heardAt = owner.now();
        idleSince = heardAt;
        socket.exceptionHandler(
                failure -> LOG.log(Level.FINE, "connection to " + address, failure));
        socket.closeHandler(none -> close(false, "closed by the other side"));
        reader = new FrameReader(this::received, this::unreadable);
        socket.handler(
                bytes -> {
                    try {
                        reader.handle(bytes, owner.now());
                    } catch (RuntimeException e) {
                        LOG.log(
                                Level.SEVERE,
                                "panic: the connection to the shard server at "
                                        + address
                                        + " is closed",
                                e);
                        close(false, "panic");
                    }
                });
        owner.up(this);
        waitingProbes.forEach(this::probe);
        waitingProbes.clear();
        wantTurn();
    }

    private void wantTurn() {
        if (!over && !waiting.isEmpty()) {
            owner.turnWanted(this);
        }
    }

    /** Whether a call of so many parts can go out on it, now or when it is up. */
    boolean fits(List<Attempt> call) {
        boolean blocked = socket != null && (doubtful || socket.writeQueueFull());
        return !over
                && !blocked
                && flights.size() + waitingParts + call.size() <= mostParts
                && call.stream()
                        .noneMatch(
                                attempt ->
                                        flights.containsKey(attempt.partId())
                                                || cancelled.contains(attempt.partId()));
    }

    /** To be called in a turn of the decisions, as {@link #writeWaiting} is. */
    void send(List<Attempt> call) {
        waiting.add(new ArrayList<>(call));
        waitingParts += call.size();
        writeWaiting();
    }

    /**
     * Writes what waits, as far as the system takes it. To be called in a turn of the decisions,
     * once they know all that had come when the turn began: what comes up, or is written out, in
     * the middle of a pass over the sockets knows nothing of a list that tells of a drain and lies
     * unread on another. Nothing waits in the process behind other frames: it could not be taken
     * back.
     */
    void writeWaiting() {
        while (socket != null && !over && !waiting.isEmpty() && UnsentOutput.isEmpty(channel())) {
            List<Attempt> call = waiting.poll();
            waitingParts -= call.size();
            write(call);
        }
    }

    private Channel channel() {
        return ((NetSocketInternal) socket).channelHandlerContext().channel();
    }

    private Future<Void> put(Buffer frame) {
        Future<Void> write = socket.write(frame);
        write.onComplete(taken -> wantTurn());
        return write;
    }

    /**
     * Whether the server has kept it open, by all that has come up to now: what is written to one
     * whose end lies unread would count as reset, and may not be tried again where the effect might
     * happen twice. One that isn't up yet may still come up.
     */
    boolean isOpenStill() {
        return socket == null || UnreadInput.readAll(channel()) && !over;
    }

    /** The one place at which attempts are written; the parts of a call are of one query. */
    private void write(List<Attempt> waited) {
        double now = owner.now();
        List<Attempt> call = writable(waited, now);
        if (call.isEmpty()) {
            return;
        }
        Buffer frame = GathererFrame.call(call, now);
        // Last, so that a hold-up in all that comes before it changes nothing.
        if (!owner.clientWaits(call.get(0).query())) {
            call.forEach(
                    attempt ->
                            owner.ended(
                                    attempt,
                                    new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN)));
            return;
        }
        Future<Void> write = put(frame);
        List<Flight> out = call.stream().map(attempt -> new Flight(attempt, now)).toList();
        out.forEach(flight -> flights.put(flight.attempt.partId(), flight));
        out.forEach(flight -> flight.write = write);
        call.forEach(owner::begun);
        write.onFailure(
                failure ->
                        out.forEach(
                                flight -> {
                                    if (flights.remove(flight.attempt.partId(), flight)) {
                                        owner.ended(
                                                flight.attempt,
                                                new AttemptResult.ConnectionLost(
                                                        WriteProgress.PARTLY_WRITTEN));
                                    }
                                }));
    }

    /**
     * Those that may still be written: while the call waited the list may have said that its server
     * drains, or its time have run out.
     */
    private List<Attempt> writable(List<Attempt> waited, double now) {
        var call = new ArrayList<Attempt>();
        for (Attempt attempt : waited) {
            if (!attempt.mayBeWritten(now)) {
                owner.ended(attempt, new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
            } else if (attempt.server().running()) {
                call.add(attempt);
            } else {
                owner.ended(attempt, new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN));
            }
        }
        return call;
    }

    /**
     * A frame whose last byte was never handed over has not run; that may be known only after the
     * close.
     */
    private void lost(Flight flight) {
        if (spoilt) {
            owner.ended(flight.attempt, new AttemptResult.Failed(null));
            return;
        }
        if (flight.write == null) {
            owner.ended(flight.attempt, new AttemptResult.ConnectionLost(WriteProgress.WRITTEN));
            return;
        }
        flight.write.onComplete(
                written ->
                        owner.ended(
                                flight.attempt,
                                new AttemptResult.ConnectionLost(
                                        written.succeeded()
                                                ? WriteProgress.WRITTEN
                                                : WriteProgress.PARTLY_WRITTEN)));
    }

    /** Gives a part up; false if it isn't on this link. */
    boolean cancel(Attempt attempt) {
        for (List<Attempt> call : waiting) {
            if (call.remove(attempt)) {
                waitingParts--;
                owner.ended(attempt, new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
                return true;
            }
        }
        Flight flight = flights.get(attempt.partId());
        if (flight == null || flight.attempt != attempt) {
            return false;
        }
        flights.remove(attempt.partId());
        cancelled.add(attempt.partId());
        if (cancelled.size() > MOST_CANCELLED) {
            cancelled.remove(cancelled.iterator().next());
        }
        put(GathererFrame.giveUp(attempt.partId()));
        idle();
        owner.ended(attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        return true;
    }

    void probe(boolean load) {
        if (socket == null) {
            waitingProbes.add(load);
            return;
        }
        probes.add(owner.now());
        put(load ? GathererFrame.loadProbe() : GathererFrame.probe());
    }

    /**
     * What the server sent can't be read or isn't the answer to anything, so nothing that follows
     * can be trusted. One of the parts out was meant, or all are answered and it came on top.
     */
    private void unreadable(String why) {
        if (!over) {
            LOG.warning("shard server at " + address + " sent what can't be read: " + why);
            spoilt = true;
            close(false, why);
        }
    }

    private void received(ShardFrame frame) {
        heardAt = owner.now();
        doubtful = false;
        if (over) {
            return;
        }
        if (frame instanceof ShardFrame.Ended ended) {
            Flight flight = flights.remove(ended.partId());
            if (flight == null && !cancelled.remove(ended.partId())) {
                unreadable("the end of a part that isn't out");
                return;
            }
            idle();
            if (flight != null) {
                owner.ended(
                        flight.attempt,
                        switch (ended.end()) {
                            case HIT -> new AttemptResult.Completed(ended.value(), ended.load());
                            case FAULT -> new AttemptResult.Failed(ended.load());
                            case OVERLOAD -> new AttemptResult.Rejected(ended.load());
                        });
            }
        } else if (frame instanceof ShardFrame.Probed probed && !probes.isEmpty()) {
            double took = owner.now() - probes.poll();
            owner.probeEnded(
                    this,
                    probed.sound()
                            ? new AttemptResult.Completed(Payload.EMPTY, probed.load())
                            : new AttemptResult.Failed(probed.load()),
                    took);
        } else if (frame instanceof ShardFrame.Unusable unusable) {
            LOG.warning(
                    "shard server at " + address + " could not use a frame: " + unusable.words());
            close(false, "a frame could not be used");
        }
    }

    private void idle() {
        if (flights.isEmpty()) {
            idleSince = owner.now();
        }
    }

    /**
     * Looks after the link from time to time. One on which a part was written and nothing heard for
     * as long as a dial may take is doubtful: its machine may have vanished, and a new dial tells.
     */
    void sweep(double silenceMs, double idleMs) {
        if (socket == null) {
            return;
        }
        double now = owner.now();
        if (reader.stalled(now, silenceMs) || unheard(now, silenceMs)) {
            // After a hold-up it may have answered long ago.
            UnreadInput.readAll(channel());
        }
        if (over) {
            return;
        }
        if (reader.stalled(now, silenceMs)) {
            unreadable("a frame that doesn't end");
            return;
        }
        doubtful |= unheard(now, silenceMs);
        boolean idle = flights.isEmpty() && probes.isEmpty() && waiting.isEmpty();
        if (idle && (doubtful || now - idleSince > idleMs)) {
            close(false, null);
        }
    }

    /** Whether a part that was written so long ago is the last that there was on the link. */
    private boolean unheard(double now, double silenceMs) {
        return flights.values().stream()
                .anyMatch(
                        flight ->
                                flight.writtenAt >= heardAt && now - flight.writtenAt > silenceMs);
    }

    /** Ends the link: {@code why} is null where that was our own wish. */
    void close(boolean neverUp, String why) {
        if (over) {
            return;
        }
        over = true;
        if (socket != null) {
            socket.close();
        }
        owner.closed(this, neverUp, why);
        List<Attempt> unwritten = waiting.stream().flatMap(List::stream).toList();
        waiting.clear();
        List<Flight> written = List.copyOf(flights.values());
        flights.clear();
        unwritten.forEach(
                attempt ->
                        owner.ended(
                                attempt,
                                new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN)));
        written.forEach(this::lost);
        waitingProbes.forEach(
                probe ->
                        owner.probeEnded(
                                this,
                                new AttemptResult.ConnectionLost(WriteProgress.NOT_WRITTEN),
                                0));
        probes.forEach(
                at ->
                        owner.probeEnded(
                                this,
                                new AttemptResult.ConnectionLost(WriteProgress.WRITTEN),
                                owner.now() - at));
    }
}
