package sprucehold.rig.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A shell that knows the rig's processes and kills them as soon as the pipe from the rig closes:
 * nothing is left running however the rig ends, also when it is killed itself, and also processes
 * that are paused.
 */
public final class Guardian implements AutoCloseable {
    private static final String WATCH =
            "trap '' INT TERM HUP; pids=; while read -r verb pid; do case $verb in "
                    + "add) pids=\"$pids $pid\";; "
                    + "del) left=; for p in $pids; do [ \"$p\" = \"$pid\" ] || left=\"$left $p\"; done; pids=$left;; "
                    + "esac; done; [ -z \"$pids\" ] || kill -KILL $pids 2>/dev/null";

    private final Process shell;
    private final OutputStream pipe;

    public Guardian() throws IOException {
        shell =
                new ProcessBuilder("/bin/sh", "-c", WATCH)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        pipe = shell.getOutputStream();
    }

    /** Has a process killed if the rig ends. */
    synchronized void add(long pid) throws IOException {
        say("add " + pid);
    }

    /** A process has ended, and its id may come to be another's. */
    synchronized void del(long pid) {
        try {
            say("del " + pid);
        } catch (IOException e) {
            // The guardian has ended; so will the rig.
        }
    }

    private void say(String line) throws IOException {
        if (!shell.isAlive()) {
            throw new IOException("the guardian of the rig's processes has ended");
        }
        pipe.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
    }

    public long pid() {
        return shell.pid();
    }

    /** Kills whatever is left, as if the rig had ended. */
    @Override
    public void close() throws IOException {
        pipe.close();
        try {
            if (!shell.waitFor(5, TimeUnit.SECONDS)) {
                shell.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
