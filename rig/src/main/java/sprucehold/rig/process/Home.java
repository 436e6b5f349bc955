package sprucehold.rig.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucehold.rig.plan.Plan;

/**
 * The program that the rig starts.
 *
 * @param root the folder in which it runs
 * @param program the command before what says which gatherer it is to be; its first word is a JVM's
 */
public record Home(Path root, List<String> program) {
    /** Long enough after a start that loans are out by then. */
    private static final int JUMPS_AFTER_MS = 6000;

    /**
     * The shipped jar of a checkout in which it is built, started as operators do.
     *
     * @throws IOException with what is missing, in one line
     */
    public static Home find() throws IOException {
        String named = System.getenv("SPRUCEHOLD_HOME");
        Path at = Path.of(named == null || named.isEmpty() ? "" : named).toAbsolutePath();
        for (Path here = at; here != null; here = here.getParent()) {
            if (Files.isRegularFile(here.resolve("deploy/serve.options"))) {
                if (!Files.isRegularFile(here.resolve("gatherer/target/sprucehold.jar"))) {
                    throw new IOException(
                            here.resolve("gatherer/target/sprucehold.jar")
                                    + ": nothing is built: run 'mvn -q -DskipTests package'");
                }
                return new Home(here, shipped(here));
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
     * The command that starts one gatherer.
     *
     * @param together what it is told of others, or null where it doesn't talk
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
                            "-Dsprucehold.clockJumpAfterMs=" + JUMPS_AFTER_MS));
        }
        command.addAll(List.of("--config", config.toAbsolutePath().toString()));
        if (together != null) {
            command.addAll(List.of("--together", together.toAbsolutePath().toString()));
        }
        return command;
    }
}
