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

/** Runs a module on the events of a trace, and compares what it does. */
public final class TraceReplay {
    private TraceReplay() {}

    /**
     * @param agreed commands that were the same, up to the call with the first that differs
     * @param difference the first command that differs, in words; null where all agree
     */
    public record Verdict(long moments, long agreed, String difference) {}

    /** The trace can't be decided again; the message says why in one line. */
    public static final class CannotReplayException extends IOException {
        private static final long serialVersionUID = 1L;

        CannotReplayException(String message) {
            super(message);
        }
    }

    /**
     * Replays each source of the files from its start.
     *
     * @param readers a source's files in any order; each source's first must be among them
     * @throws CannotReplayException where files were thinned, cut or anonymised, lack a beginning,
     *     or have a gap
     */
    public static Verdict replay(
            List<TraceReader> readers, DecisionPolicy.Factory factory, LongConsumer progress)
            throws IOException {
        record Piece(TraceReader reader, int source, Source of, long firstSeq) {}
        var pieces = new ArrayList<Piece>();
        for (TraceReader reader : readers) {
            TraceHeader header = reader.header();
            if (header.oneIn() > 1) {
                throw new CannotReplayException(
                        reader.name()
                                + " keeps one in "
                                + header.oneIn()
                                + " scans that ended well, and what was left out can't be decided again");
            } else if (header.anonymised()) {
                throw new CannotReplayException(
                        reader.name() + " is anonymised, and holds no events as they were");
            }
            for (int i = 0; i < header.sources().size(); i++) {
                Entry first = reader.allOf(i).next();
                if (first != null) {
                    pieces.add(new Piece(reader, i, header.sources().get(i), first.seq()));
                }
            }
        }
        pieces.sort(
                Comparator.comparing((Piece piece) -> piece.of.id())
                        .thenComparingLong(Piece::firstSeq));
        long moments = 0;
        long agreed = 0;
        String current = null;
        DecisionPolicy module = null;
        long seq = 0;
        for (Piece piece : pieces) {
            if (!piece.of.id().equals(current)) {
                current = piece.of.id();
                module = factory.start(piece.of.seed(), piece.of.deployment());
                seq = 0;
            }
            TraceCursor cursor = piece.reader.allOf(piece.source);
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                check(piece.reader, piece.of, entry, seq);
                seq = entry.seq() + 1;
                PolicyCall call = (PolicyCall) entry;
                String difference = decide(module, call, piece.of);
                moments++;
                if (difference != null) {
                    return new Verdict(moments, agreed, difference);
                }
                agreed += call.commands().size();
                if (moments % 65_536 == 0) {
                    progress.accept(moments);
                }
            }
        }
        return new Verdict(moments, agreed, null);
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
                            + " goes on with call "
                            + entry.seq()
                            + " of gatherer "
                            + source.gatherer()
                            + " where call "
                            + expected
                            + " was expected"
                            + (expected == 0 ? ": give the files before it as well" : ""));
        }
        if (!((PolicyCall) entry).isComplete()) {
            throw new CannotReplayException(
                    reader.name()
                            + ": of call "
                            + entry.seq()
                            + " of gatherer "
                            + source.gatherer()
                            + " only "
                            + ((PolicyCall) entry).items().size()
                            + " of "
                            + ((PolicyCall) entry).total()
                            + " events and actions are there: it was cut");
        }
    }

    private static String decide(DecisionPolicy module, PolicyCall call, Source source) {
        List<Event> events = call.events();
        List<Command> recorded = call.commands();
        List<Command> now;
        String where = "gatherer " + source.gatherer() + ", call " + call.seq();
        try {
            now = module.decide(call.nowMs(), events);
        } catch (RuntimeException | StackOverflowError e) {
            return call.policyFailed() ? null : where + ": this build fails with " + e;
        }
        if (call.policyFailed()) {
            return where + ": the recorded module failed, this build doesn't";
        }
        for (int i = 0; i < Math.max(recorded.size(), now.size()); i++) {
            Command was = i < recorded.size() ? recorded.get(i) : null;
            Command is = i < now.size() ? now.get(i) : null;
            if (!Objects.equals(was, is)) {
                return where
                        + ", action "
                        + i
                        + ": recorded "
                        + (was == null ? "nothing" : was)
                        + ", this build "
                        + (is == null ? "nothing" : is);
            }
        }
        return null;
    }
}
