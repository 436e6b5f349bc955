package sprucehold.rig.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The program that the rig starts.
 *
 * @param root the folder in which it runs
 * @param program the command before what says which gatherer it is to be; its first word is a JVM's
 */
public record Home(Path root, List<String> program) {
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
                    throw new IOException(here.resolve("gatherer/target/sprucehold.jar")
                            + ": nothing is built: run 'mvn -q -DskipTests package'");
                }
                return new Home(here, shipped(here));
            }
        }
        throw new IOException(at + ": no checkout with deploy/serve.options was found here or above");
    }

    private static List<String> shipped(Path root) {
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("@deploy/serve.options");
        command.add("-XX:ActiveProcessorCount=1");
        Path archive = root.resolve("gatherer/target/sprucehold.jsa");
        if (Files.isRegularFile(archive)) {
            command.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off,cds+dynamic=off"));
        }
        command.addAll(List.of("-jar", root.resolve("gatherer/target/sprucehold.jar").toString(), "serve", "--log-scans"));
        return List.copyOf(command);
    }

    /** The command that starts one gatherer. */
    List<String> serve(double clockOffMs, Path config) {
        var command = new ArrayList<>(program);
        if (clockOffMs != 0) {
            command.add(1, "-Dsprucehold.clockOffMs=" + clockOffMs);
        }
        command.addAll(List.of("--config", config.toAbsolutePath().toString()));
        return command;
    }
}
