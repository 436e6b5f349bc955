package sprucehold.shards;

import io.netty.channel.Channel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;
import sprucehold.coordinator.WriteProgress;
import sprucehold.sockets.UnreadInput;
import sprucehold.sockets.UnsentOutput;

/**
 * One connection to a shard server, from its dial to its end, with the attempts and health checks
 * on it. Attempts wait until the connection is up and the system has taken what was written before;
 * then they are written in a turn of the decisions. Each attempt and each health check ends exactly
 * once, by {@link Owner}. Runs on one event loop.
 */
final class ShardConnection {
    private static final Logger LOG = Logger.getLogger(ShardConnection.class.getName());

    /** What a connection asks and tells its owner. */
    interface Owner {
        double nowMs();

        boolean clientWaits(Query query);

        void begun(Attempt attempt);

        void attemptEnded(Attempt attempt, AttemptResult result);

        void healthCheckEnded(AttemptResult result, double durationMs);

        /** The connection has come up. */
        void connected();

        /**
         * Attempts wait on it that can be written now: {@link #writeWaiting} is due in the next
         * turn.
         */
        void turnWanted(ShardConnection connection);

        /**
         * The connection is over.
         *
         * @param dialFailed whether it never came up
         * @param why what ended it; null where that was our own wish
         */
        void closed(ShardConnection connection, boolean dialFailed, String why);
    }

    private final Owner owner;
    private final String address;
    private final int maxParts;
    private final boolean loadByHealthCheck;

    /**
     * Calls that wait for the connection to come up, or for the system to take what was written
     * before; each with parts of one query.
     */
    private final Queue<List<Attempt>> waitingCalls = new ArrayDeque<>();

    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final PendingHealthChecks healthChecks = new PendingHealthChecks();

    private int waitingParts;
    private NetSocket socket;
    private FrameReader reader;

    /** When a frame came last, or the connection came up. */
    private double heardAtMs;

    /** Since when no part is in flight, while none is. */
    private double idleSinceMs;

    /** Whether it is silent for so long that the server's machine may have vanished. */
    private boolean suspect;

    private boolean closed;

    /** Whether what came can't be read, so that nobody knows which part it was meant for. */
    private boolean unreadable;

    ShardConnection(Owner owner, String address, int maxParts, boolean loadByHealthCheck) {
        this.owner = owner;
        this.address = address;
        this.maxParts = maxParts;
        this.loadByHealthCheck = loadByHealthCheck;
    }

    /** Takes the dial over. */
    void dialled(Future<NetSocket> dial) {
        dial.onComplete(this::opened, failure -> close(true, failure.getMessage()));
    }

    /** Host and port that were dialled. */
    String address() {
        return address;
    }

    private void opened(NetSocket opened) {
        if (closed) {
            opened.close();
            return;
        }
        socket = opened;
        heardAtMs = owner.nowMs();
        idleSinceMs = heardAtMs;
        socket.exceptionHandler(
                failure -> LOG.log(Level.FINE, "connection to " + address, failure));
        socket.closeHandler(none -> close(false, "closed by the other side"));
        reader = new FrameReader(this::received, this::receivedUnreadable);
        socket.handler(this::receivedBytes);
        owner.connected();
        for (int i = healthChecks.takeWaiting(); i > 0; i--) {
            checkHealth();
        }
        requestTurn();
    }

    private void receivedBytes(Buffer bytes) {
        try {
            reader.handle(bytes, owner.nowMs());
        } catch (RuntimeException e) {
            LOG.log(
                    Level.SEVERE,
                    "panic: the connection to the shard server at " + address + " is closed",
                    e);
            close(false, "panic");
        }
    }

    private void requestTurn() {
        if (!closed && !waitingCalls.isEmpty()) {
            owner.turnWanted(this);
        }
    }

    /** Whether a call can go out on it, now or when it is up. */
    boolean canTake(List<Attempt> call) {
        boolean blocked = socket != null && (suspect || socket.writeQueueFull());
        return !closed
                && !blocked
                && inFlight.size() + waitingParts + call.size() <= maxParts
                && call.stream().noneMatch(attempt -> inFlight.mayBeAnswered(attempt.partId()));
    }

    /**
     * Sends attempts of parts of one query. To be called in a turn of the decisions, as {@link
     * #writeWaiting} is.
     */
    void send(List<Attempt> call) {
        waitingCalls.add(new ArrayList<>(call));
        waitingParts += call.size();
        writeWaiting();
    }

    /**
     * Writes what waits, as far as the system takes it. To be called in a turn of the decisions,
     * once they know all that had come when the turn began: what comes up, or is written out, in
     * the middle of a pass over the sockets knows nothing of an endpoint update that tells of a
     * drain and lies unread on another. Nothing waits in the process behind other frames: it could
     * not be taken back.
     */
    void writeWaiting() {
        while (socket != null
                && !closed
                && !waitingCalls.isEmpty()
                && UnsentOutput.isEmpty(channel())) {
            List<Attempt> call = waitingCalls.poll();
            waitingParts -= call.size();
            write(call);
        }
    }

    private Channel channel() {
        return ((NetSocketInternal) socket).channelHandlerContext().channel();
    }

    private Future<Void> put(Buffer frame) {
        Future<Void> write = socket.write(frame);
        write.onComplete(taken -> requestTurn());
        return write;
    }

    /**
     * Whether the server has kept it open, by all that has come up to now: what is written to one
     * whose end lies unread would count as reset, and may not be tried again where the effect might
     * happen twice. One that isn't up yet may still come up.
     */
    boolean isOpenStill() {
        return socket == null || (UnreadInput.readAll(channel()) && !closed);
    }

    /** The one place at which attempts are written; the parts of a call are of one query. */
    private void write(List<Attempt> waited) {
        double nowMs = owner.nowMs();
        List<Attempt> call = writable(waited, nowMs);
        if (call.isEmpty()) {
            return;
        }
        Buffer frame = GathererFrame.attempts(call, nowMs);
        // Last, so that a hold-up in all that comes before it changes nothing.
        if (!owner.clientWaits(call.get(0).query())) {
            call.forEach(this::endUnwrittenAsCancelled);
            return;
        }
        Future<Void> write = put(frame);
        List<InFlightAttempt> written =
                call.stream().map(attempt -> new InFlightAttempt(attempt, nowMs, write)).toList();
        written.forEach(inFlight::add);
        call.forEach(owner::begun);
        write.onFailure(failure -> written.forEach(this::writeFailed));
    }

    /**
     * Those that may still be written: while the call waited the list may have said that its server
     * drains, or its time have run out.
     */
    private List<Attempt> writable(List<Attempt> waited, double nowMs) {
        var call = new ArrayList<Attempt>();
        for (Attempt attempt : waited) {
            if (!attempt.mayBeWritten(nowMs)) {
                endUnwrittenAsCancelled(attempt);
            } else if (attempt.server().running()) {
                call.add(attempt);
            } else {
                endAsLost(attempt, WriteProgress.NOT_WRITTEN);
            }
        }
        return call;
    }

    private void endUnwrittenAsCancelled(Attempt attempt) {
        owner.attemptEnded(attempt, new AttemptResult.Cancelled(WriteProgress.NOT_WRITTEN));
    }

    private void endAsLost(Attempt attempt, WriteProgress progress) {
        owner.attemptEnded(attempt, new AttemptResult.ConnectionLost(progress));
    }

    private void writeFailed(InFlightAttempt written) {
        if (inFlight.remove(written)) {
            endAsLost(written.attempt, WriteProgress.PARTLY_WRITTEN);
        }
    }

    /**
     * The connection is over. A frame whose last byte was never handed over has not run; that may
     * be known only after the close.
     */
    private void connectionLost(InFlightAttempt written) {
        if (unreadable) {
            owner.attemptEnded(written.attempt, new AttemptResult.Failed(null));
            return;
        }
        written.write.onComplete(
                write ->
                        endAsLost(
                                written.attempt,
                                write.succeeded()
                                        ? WriteProgress.WRITTEN
                                        : WriteProgress.PARTLY_WRITTEN));
    }

    /** Cancels an attempt; false if it isn't on this connection. */
    boolean cancel(Attempt attempt) {
        for (List<Attempt> call : waitingCalls) {
            if (call.remove(attempt)) {
                waitingParts--;
                endUnwrittenAsCancelled(attempt);
                return true;
            }
        }
        InFlightAttempt written = inFlight.find(attempt.partId());
        if (written == null || written.attempt != attempt) {
            return false;
        }
        inFlight.cancel(attempt.partId());
        put(GathererFrame.cancellation(attempt.partId()));
        noteIfIdle();
        owner.attemptEnded(attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        return true;
    }

    /** Checks the server's health, now or once the connection is up. */
    void checkHealth() {
        if (socket == null) {
            healthChecks.await();
            return;
        }
        healthChecks.written(owner.nowMs());
        put(loadByHealthCheck ? GathererFrame.healthCheckWithLoad() : GathererFrame.healthCheck());
    }

    /**
     * What the server sent can't be read or isn't the answer to anything, so nothing that follows
     * can be trusted. One of the parts in flight was meant, or all are answered and it came on top.
     */
    private void receivedUnreadable(String why) {
        if (!closed) {
            LOG.warning("malformed frame received: shard server at " + address + ", " + why);
            unreadable = true;
            close(false, why);
        }
    }

    private void received(ShardFrame frame) {
        heardAtMs = owner.nowMs();
        suspect = false;
        if (closed) {
            return;
        }
        if (frame instanceof ShardFrame.PartEnded ended) {
            partEnded(ended);
        } else if (frame instanceof ShardFrame.HealthCheckAnswered answered
                && !healthChecks.noneWritten()) {
            healthCheckAnswered(answered);
        } else if (frame instanceof ShardFrame.FrameRefused refused) {
            LOG.warning("frame refused: shard server at " + address + ", " + refused.reason());
            close(false, "a frame could not be used");
        }
    }

    private void partEnded(ShardFrame.PartEnded ended) {
        InFlightAttempt written = inFlight.remove(ended.partId());
        if (written == null && !inFlight.removeCancelled(ended.partId())) {
            receivedUnreadable("the end of a part that isn't out");
            return;
        }
        noteIfIdle();
        if (written != null) {
            owner.attemptEnded(written.attempt, ended.result());
        }
    }

    private void healthCheckAnswered(ShardFrame.HealthCheckAnswered answered) {
        double durationMs = healthChecks.answered(owner.nowMs());
        owner.healthCheckEnded(
                answered.passed()
                        ? new AttemptResult.Completed(Payload.EMPTY, answered.load())
                        : new AttemptResult.Failed(answered.load()),
                durationMs);
    }

    private void noteIfIdle() {
        if (inFlight.isEmpty()) {
            idleSinceMs = owner.nowMs();
        }
    }

    /**
     * Looks after the connection from time to time. One on which a part was written and nothing
     * heard for as long as a dial may take is suspect: its machine may have vanished, and a new
     * dial tells.
     *
     * @param silenceMs how long a dial may take, in milliseconds
     * @param idleMs how long an idle connection is kept, in milliseconds
     */
    void sweep(double silenceMs, double idleMs) {
        if (socket == null) {
            return;
        }
        double nowMs = owner.nowMs();
        if (reader.isStalled(nowMs, silenceMs) || isSilent(nowMs, silenceMs)) {
            // After a hold-up it may have answered long ago.
            UnreadInput.readAll(channel());
        }
        if (closed) {
            return;
        }
        if (reader.isStalled(nowMs, silenceMs)) {
            receivedUnreadable("a frame that doesn't end");
            return;
        }
        suspect |= isSilent(nowMs, silenceMs);
        boolean idle = inFlight.isEmpty() && healthChecks.noneWritten() && waitingCalls.isEmpty();
        if (idle && (suspect || nowMs - idleSinceMs > idleMs)) {
            close(false, null);
        }
    }

    /** Whether the last that there was on the connection is a part that was written so long ago. */
    private boolean isSilent(double nowMs, double silenceMs) {
        return inFlight.anyWrittenSince(heardAtMs, nowMs, silenceMs);
    }

    private void close(boolean dialFailed, String why) {
        if (closed) {
            return;
        }
        closed = true;
        if (socket != null) {
            socket.close();
        }
        owner.closed(this, dialFailed, why);
        List<Attempt> unwritten = waitingCalls.stream().flatMap(List::stream).toList();
        waitingCalls.clear();
        List<InFlightAttempt> written = inFlight.removeAll();
        unwritten.forEach(attempt -> endAsLost(attempt, WriteProgress.NOT_WRITTEN));
        written.forEach(this::connectionLost);
        endHealthChecks();
    }

    private void endHealthChecks() {
        for (int i = healthChecks.waiting(); i > 0; i--) {
            healthCheckLost(WriteProgress.NOT_WRITTEN, 0);
        }
        for (double writtenAtMs : healthChecks.writtenAtMs()) {
            healthCheckLost(WriteProgress.WRITTEN, owner.nowMs() - writtenAtMs);
        }
    }

    private void healthCheckLost(WriteProgress progress, double durationMs) {
        owner.healthCheckEnded(new AttemptResult.ConnectionLost(progress), durationMs);
    }
}
