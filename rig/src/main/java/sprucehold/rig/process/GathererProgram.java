package sprucehold.rig.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.plan.Plan;

/**
 * Program that the rig starts as a gatherer.
 *
 * @param root the working directory of the program
 * @param program the command without the options that differ between gatherers; its first word is
 *     the path of a Java executable
 */
public record GathererProgram(Path root, List<String> program) {
    /**
     * Delay after the start at which the clock jumps, in milliseconds. By then leases have been
     * granted.
     */
    private static final int CLOCK_JUMP_AFTER_MS = 6000;

    /**
     * Finds the shipped jar of a checkout in which it is built, and returns the program with the
     * command that operators use.
     *
     * @throws IOException naming in one line the file that is missing
     */
    public static GathererProgram find() throws IOException {
        String named = System.getenv("SPRUCEHOLD_HOME");
        Path at = Path.of(named == null || named.isEmpty() ? "" : named).toAbsolutePath();
        for (Path here = at; here != null; here = here.getParent()) {
            if (Files.isRegularFile(here.resolve("deploy/serve.options"))) {
                if (!Files.isRegularFile(here.resolve("gatherer/target/sprucehold.jar"))) {
                    throw new IOException(
                            here.resolve("gatherer/target/sprucehold.jar")
                                    + ": nothing is built: run 'mvn -q -DskipTests package'");
                }
                return new GathererProgram(here, shipped(here));
            }
        }
        throw new IOException(
                at + ": no checkout with deploy/serve.options was found here or above");
    }

    private static List<String> shipped(Path root) {
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("@deploy/serve.options");
        command.add("-XX:ActiveProcessorCount=1");
        Path archive = root.resolve("gatherer/target/sprucehold.jsa");
        if (Files.isRegularFile(archive)) {
            command.addAll(
                    List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off,cds+dynamic=off"));
        }
        command.addAll(
                List.of(
                        "-jar",
                        root.resolve("gatherer/target/sprucehold.jar").toString(),
                        "serve",
                        "--log-scans"));
        return List.copyOf(command);
    }

    /**
     * Returns the command that starts one gatherer.
     *
     * @param together the cluster file, or null if the gatherer doesn't exchange messages with
     *     others
     */
    List<String> serve(Plan.Clocks clocks, Path config, Path together) {
        var command = new ArrayList<>(program);
        if (clocks.offMs() != 0) {
            command.add(1, "-Dsprucehold.clockOffMs=" + clocks.offMs());
        }
        if (clocks.driftPpm() != 0) {
            command.add(1, "-Dsprucehold.clockDriftPpm=" + clocks.driftPpm());
        }
        if (clocks.jumpMs() != 0) {
            command.addAll(
                    1,
                    List.of(
                            "-Dsprucehold.clockJumpMs=" + clocks.jumpMs(),
                            "-Dsprucehold.clockJumpAfterMs=" + CLOCK_JUMP_AFTER_MS));
        }
        command.addAll(List.of("--config", config.toAbsolutePath().toString()));
        if (together != null) {
            command.addAll(List.of("--together", together.toAbsolutePath().toString()));
        }
        return command;
    }
}
