package sprucehold.tracetools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.policy.QueryScheduler;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.replay.TraceDiff;
import sprucehold.tracetools.replay.TraceReplay;

public class ReplayAndDiffTest {
    private Path folder;
    private List<Path> files;
    private TraceHeader header;
    private List<Entry> entries;

    @BeforeClass
    public void simulateDay() throws IOException {
        folder = DayFiles.createFolder();
        files = DayFiles.simulate(folder, DayFiles.standardPlan(800, 5));
        try (TraceReader reader = TraceReader.open(files.get(0))) {
            header = reader.header();
            entries = DayFiles.readAll(reader.all());
        }
    }

    private static TraceReplay.ReplayResult replay(DecisionPolicy.Factory factory, Path... paths)
            throws IOException {
        var readers = new ArrayList<TraceReader>();
        for (Path file : paths) {
            readers.add(TraceReader.open(file));
        }
        return TraceReplay.replay(readers, factory, count -> {});
    }

    @Test
    public void replayYieldsTheRecordedCommands() throws IOException {
        TraceReplay.ReplayResult verdict = replay(QueryScheduler::new, files.toArray(new Path[0]));
        assertNull(verdict.difference());
        assertTrue(verdict.agreed() > 5000, verdict.agreed() + " actions");
    }

    @Test
    public void replayAcceptsFilesOfOneSourceInAnyOrder() throws IOException {
        Path second =
                DayFiles.write(
                        folder.resolve("2.trace"), header, entries.subList(300, entries.size()));
        Path first = DayFiles.write(folder.resolve("1.trace"), header, entries.subList(0, 300));
        TraceReplay.ReplayResult verdict = replay(QueryScheduler::new, second, first);
        assertNull(verdict.difference());
        assertEquals(verdict.calls(), entries.size());
    }

    /** Returns the factory of a policy that sends its hundredth attempt to another server. */
    private static DecisionPolicy.Factory changed() {
        return (seed, deployment) -> {
            var policy = new QueryScheduler(seed, deployment);
            int[] attempts = {0};
            return (now, events) ->
                    policy.decide(now, events).stream()
                            .map(
                                    command -> {
                                        if (command instanceof Command.SendAttempt attempt
                                                && ++attempts[0] == 100) {
                                            return new Command.SendAttempt(
                                                    attempt.partId(),
                                                    "elsewhere",
                                                    attempt.timeoutMs(),
                                                    attempt.reason(),
                                                    attempt.position(),
                                                    attempt.skipped());
                                        }
                                        return command;
                                    })
                            .toList();
        };
    }

    @Test
    public void replayNamesTheFirstDifferentCommand() throws IOException {
        TraceReplay.ReplayResult verdict = replay(changed(), files.get(0));
        assertTrue(
                verdict.difference().contains("gatherer g0")
                        && verdict.difference().contains("elsewhere"),
                verdict.difference());
    }

    @DataProvider
    Object[][] unreplayableFiles() throws IOException {
        var gap = new ArrayList<>(entries);
        gap.set(50, new Gap(0, 50, 1, 1, 1));
        var cut = new ArrayList<>(entries);
        PolicyCall call =
                (PolicyCall)
                        cut.stream()
                                .filter(e -> ((PolicyCall) e).items().size() > 3)
                                .findFirst()
                                .orElseThrow();
        cut.set(cut.indexOf(call), call.withItems(call.items().subList(0, 2)));
        return new Object[][] {
            {"thinned", header.withOneIn(5), entries, "keeps one in 5"},
            {"gap", header, gap, "were not recorded"},
            {"cut", header, cut, "was cut"},
            {"late", header, entries.subList(10, entries.size()), "files before it"},
            {
                "anonymised",
                new TraceHeader(header.sources(), 1, true, null, List.of()),
                entries,
                "anonymised"
            },
        };
    }

    @Test(dataProvider = "unreplayableFiles")
    public void unreplayableFileIsRejectedWithAOneLineMessage(
            String name, TraceHeader fileHeader, List<Entry> fileEntries, String expectedMessage)
            throws IOException {
        Path file = DayFiles.write(folder.resolve(name + ".trace"), fileHeader, fileEntries);
        try {
            replay(QueryScheduler::new, file);
            throw new AssertionError(name + " was replayed");
        } catch (TraceReplay.CannotReplayException e) {
            assertTrue(
                    e.getMessage().contains(expectedMessage) && e.getMessage().lines().count() == 1,
                    e.getMessage());
        }
    }

    @Test
    public void diffNamesTheFirstDifferentCommand() throws IOException {
        Path other = DayFiles.createFolder();
        List<Path> changed = DayFiles.simulate(other, DayFiles.standardPlan(800, 5), changed());
        try (TraceReader a = TraceReader.open(files.get(0));
                TraceReader b = TraceReader.open(changed.get(0));
                TraceReader again = TraceReader.open(files.get(0))) {
            List<TraceDiff.Difference> differences = TraceDiff.diff(a, b);
            assertEquals(differences.size(), 1);
            assertTrue(
                    differences.get(0).description().startsWith("action SendAttempt")
                            && differences.get(0).description().contains("elsewhere"),
                    differences.toString());
            assertTrue(TraceDiff.diff(a, again).isEmpty());
        }
    }
}
