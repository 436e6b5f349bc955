package sprucehold.rig.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A shell that keeps a list of the rig's processes and kills them as soon as the pipe from the rig
 * closes. No process, not even a paused one, is left running however the rig ends, also when the
 * rig itself is killed.
 */
public final class Guardian implements AutoCloseable {
    private static final String SHELL_SCRIPT =
            "trap '' INT TERM HUP; pids=; while read -r verb pid; do case $verb in "
                    + "add) pids=\"$pids $pid\";; "
                    + "del) left=; for p in $pids; do [ \"$p\" = \"$pid\" ] || left=\"$left $p\"; done; pids=$left;; "
                    + "esac; done; [ -z \"$pids\" ] || kill -KILL $pids 2>/dev/null";

    private final Process shell;
    private final OutputStream pipe;

    public Guardian() throws IOException {
        shell =
                new ProcessBuilder("/bin/sh", "-c", SHELL_SCRIPT)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        pipe = shell.getOutputStream();
    }

    /** Registers a process, so that it is killed if the rig ends. */
    synchronized void add(long pid) throws IOException {
        send("add " + pid);
    }

    /** Removes a process that has ended, since another process may get its id. */
    synchronized void del(long pid) {
        try {
            send("del " + pid);
        } catch (IOException e) {
            // The guardian has ended, so the rig will end too.
        }
    }

    private void send(String line) throws IOException {
        if (!shell.isAlive()) {
            throw new IOException("the guardian of the rig's processes has ended");
        }
        pipe.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        pipe.flush();
    }

    public long pid() {
        return shell.pid();
    }

    /** Kills all registered processes that are still running, as at the end of the rig. */
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
