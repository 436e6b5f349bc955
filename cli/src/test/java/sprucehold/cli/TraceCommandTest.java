package sprucehold.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TraceCommandTest {
    private Path folder;

    private record CommandResult(int exit, String out, String err) {}

    private static CommandResult run(String... arguments) {
        var out = new ByteArrayOutputStream();
        var err = new ByteArrayOutputStream();
        PrintStream outBefore = System.out;
        PrintStream errBefore = System.err;
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
        try {
            int exit = Sprucehold.commandLine().execute(arguments);
            return new CommandResult(
                    exit,
                    out.toString(StandardCharsets.UTF_8),
                    err.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(outBefore);
            System.setErr(errBefore);
        }
    }

    /** Runs a trace command given as words separated by spaces; DIR stands for the folder. */
    private CommandResult trace(String commandLine) {
        var arguments = new ArrayList<String>(List.of("trace"));
        Arrays.stream(commandLine.split(" "))
                .map(word -> word.replace("DIR", folder.toString()))
                .forEach(arguments::add);
        return run(arguments.toArray(new String[0]));
    }

    @BeforeClass
    public void makeFiles() throws IOException {
        folder = Files.createTempDirectory("trace-command");
        assertEquals(
                trace("synthesise --scans 400 --seed 4 --hours 0.5 --gatherers 2 -o DIR").exit, 0);
        assertEquals(trace("merge DIR/g0.trace DIR/g1.trace -o DIR/m.trace").exit, 0);
        byte[] whole = Files.readAllBytes(folder.resolve("g0.trace"));
        Files.write(folder.resolve("half.trace"), Arrays.copyOf(whole, whole.length * 2 / 3));
        Files.writeString(
                folder.resolve("text.trace"), "this is only text, and no trace file at all");
        Files.writeString(folder.resolve("key"), "a key that is long enough\n");
    }

    @DataProvider
    Object[][] commands() {
        return new Object[][] {
            // command, exit code, text that its standard output or standard error contains
            {"info DIR/m.trace", 0, "every scan"},
            {"verify DIR/m.trace", 0, "sound"},
            {"verify DIR/half.trace", 1, "footer"},
            {"info DIR/half.trace", 0, "trace repair"},
            {"find DIR/m.trace --most 3", 0, "because"},
            {"find DIR/m.trace --scan none", 1, "contains no such scan"},
            {"find DIR/m.trace --server s-1-1 --most 2", 0, "because"},
            {"find DIR/m.trace --from 2030-01-01", 1, "is no time"},
            {"find DIR/m.trace --from 2030-01-01T00:00:00Z", 1, "no such scan"},
            {"find DIR/m.trace --outcome WON", 2, "WON"},
            {"explain DIR/m.trace --scan none", 1, "contains no scan"},
            {
                "cut DIR/m.trace --from 2026-01-01T00:05:00Z --to 2026-01-01T00:06:00Z -o DIR/c.trace",
                0,
                "whole or"
            },
            {"cut DIR/m.trace --from 5 --to 4 -o DIR/c2.trace", 1, "isn't before"},
            {"cut DIR/m.trace --from 4 --to 5 -o DIR/m.trace", 1, "is also an input file"},
            {"merge DIR/half.trace DIR/g1.trace -o DIR/x.trace", 1, "trace repair"},
            {"anonymise DIR/m.trace --key-file DIR/key -o DIR/a.trace", 0, "lost for analysis"},
            {"anonymise DIR/m.trace --key short -o DIR/b.trace", 1, "at least 16"},
            {"anonymise DIR/m.trace -o DIR/b.trace", 1, "--key-file"},
            {"summarise DIR/g0.trace DIR/g1.trace --html DIR/s.html", 0, "table type"},
            {"diff DIR/g0.trace DIR/g0.trace", 0, "the same"},
            {"diff DIR/g0.trace DIR/g1.trace", 1, "only the"},
            {"replay DIR/m.trace", 0, "agree"},
            {"replay DIR/text.trace", 1, "no trace file"},
            {"replay DIR/none.trace", 1, "no such file"},
            {"export DIR/g0.trace --csv -o DIR/g0.csv", 0, "scans in"},
            {"export DIR/g0.trace --jsonl -o DIR/g0.jsonl", 0, "records in"},
            {"export DIR/g0.trace", 2, "--csv"},
            {"synthesise --gatherers 0 -o DIR/z", 1, "1 gatherer"},
            {"what", 2, "what"},
        };
    }

    @Test(dataProvider = "commands")
    public void commandReturnsExitCodeAndWritesResultOrErrorLines(
            String commandLine, int exit, String expectedText) {
        CommandResult result = trace(commandLine);
        assertEquals(result.exit, exit, result.out + result.err);
        assertTrue((result.out + result.err).contains(expectedText), result.out + result.err);
        if (exit > 0 && !result.err.isEmpty()) {
            assertTrue(
                    result.err.lines().allMatch(line -> line.startsWith("sprucehold: ")),
                    result.err);
        }
    }

    @Test
    public void repairOfTruncatedFileMakesItPassVerification() throws IOException {
        Files.copy(folder.resolve("half.trace"), folder.resolve("mended.trace"));
        assertTrue(trace("repair DIR/mended.trace").out.startsWith("repaired"));
        assertEquals(trace("verify DIR/mended.trace").exit, 0);
        assertTrue(trace("repair DIR/mended.trace").out.startsWith("sound"));
    }

    @DataProvider
    Object[][] json() {
        return new Object[][] {
            {"info DIR/m.trace --json", "records"},
            {"verify DIR/m.trace --json", "sound"},
            {"find DIR/m.trace --most 1 --json", "scan"},
            {"summarise DIR/m.trace --json", "service"},
            {"replay DIR/m.trace --json", "agreed"},
            {"diff DIR/g0.trace DIR/g1.trace --json", "what"},
            {"merge DIR/g0.trace -o DIR/j.trace --json", "clocks"},
            {"repair DIR/g1.trace --json", "needed"},
            {"cut DIR/m.trace --from 0 --to 5e0 -o DIR/j2.trace --json", "x"},
            {"anonymise DIR/m.trace --key-file DIR/key -o DIR/j3.trace --json", "lost"},
            {"synthesise --scans 5 --hours 0.1 -o DIR/j4 --json", "files"},
        };
    }

    @Test(dataProvider = "json")
    public void jsonOptionWritesOneJsonObjectPerLine(String commandLine, String field)
            throws IOException {
        CommandResult result = trace(commandLine);
        if (field.equals("x")) {
            // "5e0" is not accepted as a time: the command must write an error and no result.
            assertTrue(result.exit == 1 && result.out.isEmpty(), result.out);
            return;
        }
        for (String line : result.out.lines().toList()) {
            JsonNode node = new ObjectMapper().readTree(line);
            assertTrue(node.isObject() && node.has(field), line);
        }
        assertTrue(result.out.lines().count() >= 1);
    }

    @Test
    public void explainShowsTheQueryThatFindReturned() throws IOException {
        String found = trace("find DIR/m.trace --most 1 --json").out;
        String id = new ObjectMapper().readTree(found).get("scan").asText();
        CommandResult result = trace("explain DIR/m.trace --scan " + id);
        assertTrue(result.exit == 0 && result.out.startsWith("query " + id + " of "), result.out);
        assertTrue(
                trace("explain DIR/m.trace --json --scan " + id)
                        .out
                        .contains("\"kind\":\"ScanTaken\""));
    }

    /** Scripts read these names of outcomes and reasons, so they must not change. */
    @Test
    public void summaryUsesStableNamesOfOutcomesAndReasons() throws IOException {
        JsonNode summary = new ObjectMapper().readTree(trace("summarise DIR/m.trace --json").out);
        assertTrue(summary.at("/outcomes/WHOLE/WHOLE").asInt() > 0, summary.toString());
        assertTrue(summary.at("/reasons/FIRST_ROUND").asInt() > 0, summary.toString());
        assertTrue(summary.at("/gatherers/g0/outcomes/WHOLE").asInt() > 0, summary.toString());
    }

    @Test
    public void explanationUsesStableNameOfOutcome() throws IOException {
        String found = trace("find DIR/m.trace --outcome WHOLE --most 1 --json").out;
        String id = new ObjectMapper().readTree(found).get("scan").asText();
        String explained = trace("explain DIR/m.trace --json --scan " + id).out;
        assertTrue(explained.contains("\"outcome\":\"WHOLE\""), explained);
    }
}
