package sprucehold.tracetools.replay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.LongConsumer;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;

/** Runs a decision policy on the events of a trace and compares its commands with the trace. */
public final class TraceReplay {
    private TraceReplay() {}

    /**
     * Result of a replay.
     *
     * @param calls number of policy calls replayed
     * @param agreed number of equal commands before the call with the first difference
     * @param difference description of the first difference, or null if there is none
     */
    public record ReplayResult(long calls, long agreed, String difference) {}

    /** Thrown if a trace can't be replayed; the message gives the reason in one line. */
    public static final class CannotReplayException extends IOException {
        private static final long serialVersionUID = 1L;

        CannotReplayException(String message) {
            super(message);
        }
    }

    /**
     * Replays each source of the files from its start.
     *
     * @param readers the files of the sources, in any order; they must include the first file of
     *     each source
     * @throws CannotReplayException if a file was sampled, cut or anonymised, if the beginning of a
     *     source is missing, or if there is a gap
     */
    public static ReplayResult replay(
            List<TraceReader> readers, DecisionPolicy.Factory factory, LongConsumer progress)
            throws IOException {
        record Piece(TraceReader reader, int index, Source source, long firstSeq) {}
        var pieces = new ArrayList<Piece>();
        for (TraceReader reader : readers) {
            TraceHeader header = reader.header();
            if (header.oneIn() > 1) {
                throw new CannotReplayException(
                        reader.name()
                                + " keeps one in "
                                + header.oneIn()
                                + " scans that ended well, so it can't be replayed");
            } else if (header.anonymised()) {
                throw new CannotReplayException(
                        reader.name() + " is anonymised and lacks the original events");
            }
            for (int i = 0; i < header.sources().size(); i++) {
                Entry first = reader.allOf(i).next();
                if (first != null) {
                    pieces.add(new Piece(reader, i, header.sources().get(i), first.seq()));
                }
            }
        }
        pieces.sort(
                Comparator.comparing((Piece piece) -> piece.source.id())
                        .thenComparingLong(Piece::firstSeq));
        long calls = 0;
        long agreed = 0;
        String currentId = null;
        DecisionPolicy policy = null;
        long expectedSeq = 0;
        for (Piece piece : pieces) {
            if (!piece.source.id().equals(currentId)) {
                currentId = piece.source.id();
                policy = factory.create(piece.source.seed(), piece.source.deployment());
                expectedSeq = 0;
            }
            TraceCursor cursor = piece.reader.allOf(piece.index);
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                check(piece.reader, piece.source, entry, expectedSeq);
                expectedSeq = entry.seq() + 1;
                PolicyCall call = (PolicyCall) entry;
                String difference = compare(policy, call, piece.source);
                calls++;
                if (difference != null) {
                    return new ReplayResult(calls, agreed, difference);
                }
                agreed += call.commands().size();
                if (calls % 65_536 == 0) {
                    progress.accept(calls);
                }
            }
        }
        return new ReplayResult(calls, agreed, null);
    }

    private static void check(TraceReader reader, Source source, Entry entry, long expected)
            throws CannotReplayException {
        if (entry instanceof Gap gap) {
            throw new CannotReplayException(
                    reader.name()
                            + ": "
                            + gap.calls()
                            + " calls of gatherer "
                            + source.gatherer()
                            + " from call "
                            + gap.seq()
                            + " on were not recorded");
        }
        if (entry.seq() != expected) {
            throw new CannotReplayException(
                    reader.name()
                            + " continues with call "
                            + entry.seq()
                            + " of gatherer "
                            + source.gatherer()
                            + " where call "
                            + expected
                            + " was expected"
                            + (expected == 0 ? ": pass the files before it too" : ""));
        }
        if (!((PolicyCall) entry).isComplete()) {
            throw new CannotReplayException(
                    reader.name()
                            + ": call "
                            + entry.seq()
                            + " of gatherer "
                            + source.gatherer()
                            + " has only "
                            + ((PolicyCall) entry).items().size()
                            + " of "
                            + ((PolicyCall) entry).total()
                            + " events and commands: the file was cut");
        }
    }

    private static String compare(DecisionPolicy policy, PolicyCall call, Source source) {
        List<Event> events = call.events();
        List<Command> recorded = call.commands();
        List<Command> replayed;
        String where = "gatherer " + source.gatherer() + ", call " + call.seq();
        try {
            replayed = policy.decide(call.nowMs(), events);
        } catch (RuntimeException | StackOverflowError e) {
            return call.policyFailed() ? null : where + ": this build fails with " + e;
        }
        if (call.policyFailed()) {
            return where + ": the recorded module failed, this build doesn't";
        }
        for (int i = 0; i < Math.max(recorded.size(), replayed.size()); i++) {
            Command expected = i < recorded.size() ? recorded.get(i) : null;
            Command actual = i < replayed.size() ? replayed.get(i) : null;
            if (!Objects.equals(expected, actual)) {
                return where
                        + ", action "
                        + i
                        + ": recorded "
                        + (expected == null ? "nothing" : expected)
                        + ", this build "
                        + (actual == null ? "nothing" : actual);
            }
        }
        return null;
    }
}
