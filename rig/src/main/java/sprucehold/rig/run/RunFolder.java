package sprucehold.rig.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.plan.Planner;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.rig.script.ScriptReader;
import sprucehold.rig.script.ScriptWriter;
import sprucehold.rig.verdict.Figures;
import sprucehold.rig.verdict.LedgerFile;
import sprucehold.rig.verdict.Outcome;
import sprucehold.rig.verdict.Verdict;
import sprucehold.rig.verdict.VerdictBuilder;
import sprucehold.standin.ledger.Seen;

/**
 * The stored files of a run: script, plan, ledger, outcomes, verdict, and a log of each gatherer.
 */
public final class RunFolder {
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    /**
     * The observations of a run.
     *
     * @param seed seed of the plan
     * @param overMs time at which the load ended, by the run's clock; all queries must have ended
     *     by then
     * @param faults actual start and end of each fault, in seconds since the first query
     * @param crashed one line for each failure of a gatherer: it ended by itself, a fault started
     *     it and it failed to get ready, it had to be killed at the end of the run, it logged a
     *     line of level SEVERE, or it wrote more than its log keeps
     */
    public record Kept(
            long seed,
            double overMs,
            List<Span> faults,
            List<Outcome> outcomes,
            Figures.Self self,
            List<String> crashed) {}

    /** Period in which a fault was active, in seconds since the first query. */
    public record Span(String fault, Fault.Kind kind, List<String> of, double fromS, double toS) {}

    private final Path folder;

    public RunFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * Creates the folder.
     *
     * @throws IOException if the folder already contains a run
     */
    public static RunFolder make(Path folder) throws IOException {
        if (Files.exists(folder.resolve("run.json"))) {
            throw new IOException(folder + ": already contains a run; another folder was expected");
        }
        Files.createDirectories(folder);
        return new RunFolder(folder);
    }

    Path file(String name) {
        return folder.resolve(name);
    }

    public Path folder() {
        return folder;
    }

    void writePlan(Script script, Plan plan) throws IOException {
        Files.writeString(file("script.json"), ScriptWriter.json(script));
        Files.write(file("plan.json"), Planner.json(plan));
    }

    Verdict write(Kept kept, List<Seen> seen) throws IOException {
        LedgerFile.write(file("ledger.jsonl"), seen);
        JSON.writeValue(file("run.json").toFile(), kept);
        Verdict verdict =
                VerdictBuilder.evaluate(
                        script(), seen, kept.overMs, kept.outcomes, kept.self, kept.crashed);
        JSON.writeValue(file("verdict.json").toFile(), verdict);
        return verdict;
    }

    /**
     * Reads the observations of the run.
     *
     * @throws IOException naming the file that is missing or can't be read
     */
    public Kept kept() throws IOException {
        if (!Files.isRegularFile(file("run.json"))) {
            throw new IOException(folder + ": contains no run: run.json was expected");
        }
        return JSON.readValue(file("run.json").toFile(), Kept.class);
    }

    public Script script() throws IOException {
        return ScriptReader.read(file("script.json"));
    }

    public List<Seen> seen() throws IOException {
        return LedgerFile.read(file("ledger.jsonl"));
    }

    /** Judges the stored ledger again. */
    public Verdict judge() throws IOException {
        Kept kept = kept();
        return VerdictBuilder.evaluate(
                script(), seen(), kept.overMs, kept.outcomes, kept.self, kept.crashed);
    }
}
