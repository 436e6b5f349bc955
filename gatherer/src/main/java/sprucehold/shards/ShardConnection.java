package sprucehold.shards;

import io.netty.channel.Channel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
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
import sprucehold.sockets.RevocableWrite;
import sprucehold.sockets.UnreadInput;
import sprucehold.sockets.UnsentOutput;

/**
 * Connection to a shard server, with the attempts and health checks on it. Attempts wait until the
 * connection is established and the kernel has accepted all earlier writes. Then they are written
 * in a turn of the decision loop. Exactly one result of each attempt and of each health check is
 * reported to the {@link Owner}. Runs on one event loop.
 */
final class ShardConnection {
    private static final Logger LOG = Logger.getLogger(ShardConnection.class.getName());

    /** Callbacks of a connection to its owner. */
    interface Owner {
        double nowMs();

        boolean isClientConnected(Query query);

        void attemptWritten(Attempt attempt);

        void attemptEnded(Attempt attempt, AttemptResult result);

        /** Reports that the value of an attempt that completed is wrong. */
        void answerDisproved(Attempt attempt);

        void healthCheckEnded(AttemptResult result, double durationMs);

        /**
         * Reports that an answer has been received. The owner then has {@link #confirmAnswers}
         * called in the next turn of the decision loop.
         */
        void confirmationRequested(ShardConnection connection);

        /** Reports the same for a turn after {@link FrameReader#EXCESS_WAIT_MS}. */
        void confirmationRequestedLater(ShardConnection connection);

        /** Reports that the connection is established. */
        void connectionEstablished();

        /**
         * Reports that attempts waiting on the connection can be written now. The owner then has
         * {@link #writeWaiting} called in the next turn of the decision loop.
         */
        void writeTurnRequested(ShardConnection connection);

        /**
         * Reports that the connection is closed.
         *
         * @param connectFailed whether the connection was never established
         * @param reason why the connection was closed; null if the gatherer closed it as idle
         */
        void closed(ShardConnection connection, boolean connectFailed, String reason);
    }

    private final Owner owner;
    private final String address;
    private final int maxParts;
    private final boolean loadByHealthCheck;

    /**
     * Calls that wait for the connection to be established, or for the kernel to accept earlier
     * writes. Each call has parts of one query.
     */
    private final Queue<List<Attempt>> waitingCalls = new ArrayDeque<>();

    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final PendingHealthChecks healthChecks = new PendingHealthChecks();

    private int waitingParts;
    private NetSocket socket;
    private FrameReader reader;

    /** Time at which the connection was established. */
    private double establishedAtMs;

    /**
     * Time of the last answer or cancellation that left no part in flight, or at which the
     * connection was established. Used only while no part is in flight.
     */
    private double idleSinceMs;

    /**
     * Whether the shard server has been silent for so long that its host may be down or
     * unreachable.
     */
    private boolean suspect;

    private boolean closed;

    /** Whether input is being read in order to confirm an answer. */
    private boolean confirming;

    /** The attempt whose answer was passed on last, if it completed, else null. */
    private Attempt lastCompleted;

    /** Whether malformed input was received. It is unknown which part such input belongs to. */
    private boolean receivedMalformed;

    ShardConnection(Owner owner, String address, int maxParts, boolean loadByHealthCheck) {
        this.owner = owner;
        this.address = address;
        this.maxParts = maxParts;
        this.loadByHealthCheck = loadByHealthCheck;
    }

    /** Sets the pending connect operation of this connection. */
    void setPendingConnect(Future<NetSocket> pendingConnect) {
        pendingConnect.onComplete(this::established, failure -> close(true, failure.getMessage()));
    }

    /** Returns the address that this connection connects to. */
    String address() {
        return address;
    }

    private void established(NetSocket newSocket) {
        if (closed) {
            newSocket.close();
            return;
        }
        socket = newSocket;
        establishedAtMs = owner.nowMs();
        idleSinceMs = establishedAtMs;
        socket.exceptionHandler(
                failure ->
                        LOG.log(
                                Level.FINE,
                                "exception on the connection to the shard server at " + address,
                                failure));
        socket.closeHandler(none -> closedByServer());
        reader = new FrameReader(new Frames());
        socket.handler(this::bytesReceived);
        owner.connectionEstablished();
        for (int i = healthChecks.takeWaiting(); i > 0; i--) {
            checkHealth();
        }
        requestTurn();
    }

    /** What the reader reports. */
    private final class Frames implements FrameReader.Listener {
        @Override
        public void frame(ShardFrame frame, double receivedAtMs) {
            frameReceived(frame, receivedAtMs);
        }

        @Override
        public void disproved() {
            if (lastCompleted != null) {
                owner.answerDisproved(lastCompleted);
            }
        }

        @Override
        public void malformed(String reason) {
            closeAfterMalformedInput(reason);
        }
    }

    private void bytesReceived(Buffer bytes) {
        runGuarded(
                () -> {
                    long framesBefore = reader.completeFrames();
                    reader.handle(bytes, owner.nowMs());
                    suspect &= reader.completeFrames() == framesBefore;
                    if (reader.isHolding() && !confirming) {
                        owner.confirmationRequested(this);
                    }
                });
    }

    /** Runs a step of reading; closes the connection if the step throws. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.log(
                    Level.SEVERE,
                    "panic: the connection to the shard server at " + address + " is closed",
                    e);
            close(false, "panic");
        }
    }

    /**
     * Passes on the latest answer unless the bytes behind it show that its length is wrong. All
     * input received up to now is read first. Must be called at the start of a turn of the decision
     * loop.
     */
    void confirmAnswers() {
        if (closed || !reader.isHolding()) {
            return;
        }
        confirming = true;
        try {
            UnreadInput.readAll(channel());
        } finally {
            confirming = false;
        }
        runGuarded(
                () -> {
                    if (!closed && !reader.confirm(owner.nowMs(), isMoreExpected())) {
                        owner.confirmationRequestedLater(this);
                    }
                });
    }

    /** Returns whether the shard server may send an answer besides one that is being processed. */
    private boolean isMoreExpected() {
        return inFlight.size() + healthChecks.unanswered() > 1;
    }

    private void closedByServer() {
        if (!closed) {
            runGuarded(() -> reader.end(isMoreExpected()));
        }
        close(false, "closed by the shard server");
    }

    private void requestTurn() {
        if (!closed && !waitingCalls.isEmpty()) {
            owner.writeTurnRequested(this);
        }
    }

    /** Returns whether a call can be sent on this connection, now or once it is established. */
    boolean canTake(List<Attempt> call) {
        boolean blocked = socket != null && (suspect || socket.writeQueueFull());
        return !closed
                && !blocked
                && inFlight.size() + waitingParts + call.size() <= maxParts
                && call.stream().noneMatch(attempt -> inFlight.mayBeAnswered(attempt.partId()));
    }

    /**
     * Sends attempts of parts of one query. Must be called in a turn of the decision loop, as
     * {@link #writeWaiting} is.
     */
    void send(List<Attempt> call) {
        waitingCalls.add(new ArrayList<>(call));
        waitingParts += call.size();
        writeWaiting();
    }

    /**
     * Writes waiting calls until the kernel stops accepting writes. Must be called in a turn of the
     * decision loop, after all input received before the turn began has been processed. A
     * connection that is established, or whose output is sent, in the middle of a pass over the
     * sockets must not write at once: an endpoint update that reports the shard server as draining
     * may still be unread on another connection. A frame is never queued in the process behind
     * other frames, since it could not be cancelled there.
     */
    void writeWaiting() {
        while (socket != null
                && !closed
                && !waitingCalls.isEmpty()
                && UnsentOutput.isEmpty(channel())) {
            List<Attempt> call = waitingCalls.poll();
            waitingParts -= call.size();
            writeCall(call);
        }
    }

    private Channel channel() {
        return ((NetSocketInternal) socket).channelHandlerContext().channel();
    }

    private void writeFrame(Buffer frame) {
        socket.write(frame).onComplete(done -> requestTurn());
    }

    /**
     * Returns whether the connection is open, judged by all input received up to now. An attempt
     * written to a connection whose close is still unread would be reported as lost after its
     * write, and could not be retried if its effect might then happen twice. For a connection that
     * isn't established yet the result is true.
     */
    boolean isStillOpen() {
        if (socket == null) {
            return true;
        }
        UnreadInput.readAll(channel());
        return channel().isActive() && !closed;
    }

    /** Writes a call, whose parts all belong to one query. No other method writes attempts. */
    private void writeCall(List<Attempt> waitingCall) {
        double nowMs = owner.nowMs();
        List<Attempt> call = writable(waitingCall, nowMs);
        if (call.isEmpty()) {
            return;
        }
        Buffer frame = GathererFrame.attempts(call, nowMs);
        var prepared = RevocableWrite.prepare(channel(), ((BufferInternal) frame).getByteBuf());
        // Check the client last, so that a delay in the steps above can't make the result of the
        // check outdated.
        if (!owner.isClientConnected(call.get(0).query())) {
            prepared.revoke();
            call.forEach(this::endUnwrittenAsCancelled);
            return;
        }
        Future<Void> write = prepared.send();
        write.onComplete(done -> requestTurn());
        List<InFlightAttempt> written =
                call.stream().map(attempt -> new InFlightAttempt(attempt, nowMs, write)).toList();
        written.forEach(inFlight::add);
        call.forEach(owner::attemptWritten);
        write.onFailure(failure -> written.forEach(this::writeFailed));
    }

    /**
     * Returns the attempts that may still be written, and ends the others. While the call waited,
     * an endpoint update may have reported its shard server as draining, or the time of an attempt
     * may have run out.
     */
    private List<Attempt> writable(List<Attempt> waitingCall, double nowMs) {
        var call = new ArrayList<Attempt>();
        for (Attempt attempt : waitingCall) {
            if (!attempt.isWriteAllowed(nowMs)) {
                endUnwrittenAsCancelled(attempt);
            } else if (attempt.server().isRunning()) {
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
     * Ends an attempt in flight after the connection was closed. A part whose frame was not
     * completely written has not run; whether the write was complete may be known only after the
     * close.
     */
    private void connectionLost(InFlightAttempt written) {
        if (receivedMalformed) {
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

    /** Cancels an attempt. Returns false if it isn't on this connection. */
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
        writeFrame(GathererFrame.cancellation(attempt.partId()));
        updateIdleSince();
        owner.attemptEnded(attempt, new AttemptResult.Cancelled(WriteProgress.WRITTEN));
        return true;
    }

    /** Sends a health check, now or once the connection is established. */
    void checkHealth() {
        if (socket == null) {
            healthChecks.addWaiting();
            return;
        }
        healthChecks.addWritten(owner.nowMs());
        writeFrame(
                loadByHealthCheck
                        ? GathererFrame.healthCheckWithLoad()
                        : GathererFrame.healthCheck());
    }

    /**
     * Closes the connection after malformed input or a result of a part that is not in flight,
     * since no later input can be trusted either. If parts are in flight, the input may have been
     * the answer to any of them, so all of them fail. If none is in flight, only the connection is
     * lost.
     */
    private void closeAfterMalformedInput(String reason) {
        if (!closed) {
            LOG.warning("malformed frame received: shard server at " + address + ", " + reason);
            receivedMalformed = true;
            close(false, reason);
        }
    }

    private void frameReceived(ShardFrame frame, double receivedAtMs) {
        lastCompleted = null;
        if (closed) {
            return;
        }
        if (frame instanceof ShardFrame.PartEnded ended) {
            partEnded(ended);
        } else if (frame instanceof ShardFrame.HealthCheckAnswered answered
                && !healthChecks.allAnswered()) {
            healthCheckAnswered(answered, receivedAtMs);
        } else if (frame instanceof ShardFrame.FrameRefused refused) {
            LOG.warning("frame refused: shard server at " + address + ", " + refused.reason());
            close(false, "frame refused");
        }
    }

    private void partEnded(ShardFrame.PartEnded ended) {
        InFlightAttempt written = inFlight.remove(ended.partId());
        if (written == null && !inFlight.removeCancelled(ended.partId())) {
            closeAfterMalformedInput("result of a part that is not in flight");
            return;
        }
        updateIdleSince();
        if (written != null) {
            lastCompleted =
                    ended.result() instanceof AttemptResult.Completed ? written.attempt : null;
            owner.attemptEnded(written.attempt, ended.result());
        }
    }

    private void healthCheckAnswered(ShardFrame.HealthCheckAnswered answered, double receivedAtMs) {
        double durationMs = healthChecks.removeAnswered(receivedAtMs);
        owner.healthCheckEnded(
                answered.passed()
                        ? new AttemptResult.Completed(Payload.EMPTY, answered.load())
                        : new AttemptResult.Failed(answered.load()),
                durationMs);
    }

    private void updateIdleSince() {
        if (inFlight.isEmpty()) {
            idleSinceMs = owner.nowMs();
        }
    }

    /**
     * Checks the connection; called at a fixed interval. A connection is suspect if an attempt was
     * written and no frame has been received since then for longer than the connect timeout. The
     * host of the shard server may be down, and opening a new connection shows whether it is.
     *
     * @param silenceMs connect timeout, in milliseconds
     * @param idleMs time after which an idle connection is closed, in milliseconds
     */
    void sweep(double silenceMs, double idleMs) {
        if (socket == null) {
            return;
        }
        double nowMs = owner.nowMs();
        if (reader.isStalled(nowMs, silenceMs) || isSilent(nowMs, silenceMs)) {
            // If this process was paused, the answer may have arrived long ago and still be unread.
            UnreadInput.readAll(channel());
        }
        if (closed) {
            return;
        }
        if (reader.isStalled(nowMs, silenceMs)) {
            reader.failStalled();
            return;
        }
        suspect |= isSilent(nowMs, silenceMs);
        boolean idle = inFlight.isEmpty() && healthChecks.allAnswered() && waitingCalls.isEmpty();
        if (idle && (suspect || nowMs - idleSinceMs > idleMs)) {
            close(false, null);
        }
    }

    /**
     * Returns whether an attempt was written longer ago than {@code silenceMs} and no frame has
     * been received since.
     */
    private boolean isSilent(double nowMs, double silenceMs) {
        double sinceMs = Math.max(establishedAtMs, reader.lastFrameAtMs());
        return inFlight.anyWrittenSince(sinceMs, nowMs, silenceMs);
    }

    private void close(boolean connectFailed, String reason) {
        if (closed) {
            return;
        }
        closed = true;
        if (socket != null) {
            socket.close();
        }
        owner.closed(this, connectFailed, reason);
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
