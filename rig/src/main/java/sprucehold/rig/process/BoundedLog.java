package sprucehold.rig.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;

/**
 * Takes all that a process writes, so that no pipe fills, and keeps the first part of it; notes
 * what it holds to be severe. Safe for threads.
 */
final class BoundedLog {
    /** A gatherer writes some hundred bytes a scan: this is a run of ten minutes. */
    private static final long MOST_BYTES = 64L << 20;

    private final Path file;
    private final long most;
    private volatile long written;
    private volatile boolean flooded;
    private volatile String last = "it wrote nothing";

    /**
     * What a line may hold, at the most: the rest of a longer one is taken for lines of its own.
     */
    private static final int LONGEST_LINE = 16 * 1024;

    private static final int MOST_SEVERE = 5;

    /**
     * The level stands second, as text and as JSON, the two forms of the log; what follows may be
     * anything.
     */
    private static final Pattern SEVERE =
            Pattern.compile("\\S+ SEVERE |\\{\"time\":\"[^\"]*\",\"level\":\"SEVERE\"");

    private final StringBuilder line = new StringBuilder();
    private final List<String> severe = new CopyOnWriteArrayList<>();

    BoundedLog(Path file) {
        this(file, MOST_BYTES);
    }

    BoundedLog(Path file, long most) {
        this.file = file;
        this.most = most;
    }

    /** Reads on a thread of its own until the process closes its end. */
    void drain(InputStream in, String name) {
        var thread = new Thread(() -> copy(in), "log of " + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void copy(InputStream in) {
        byte[] bytes = new byte[8192];
        try (OutputStream out =
                Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
                int keep = (int) Math.max(0, Math.min(read, most - written));
                out.write(bytes, 0, keep);
                written += keep;
                flooded |= keep < read;
                remember(new String(bytes, 0, read, StandardCharsets.UTF_8));
            }
            whole(line.toString());
        } catch (IOException e) {
            // Killed while it wrote, or the disk is full: the run goes on.
            last = "its log can't be kept: " + e.getMessage();
        }
    }

    private void remember(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) != '\n' && line.length() < LONGEST_LINE) {
                line.append(text.charAt(i));
            } else {
                whole(line.toString());
                line.setLength(0);
            }
        }
    }

    private void whole(String written) {
        if (!written.isBlank()) {
            last = written;
        }
        if (severe.size() < MOST_SEVERE && SEVERE.matcher(written).lookingAt()) {
            severe.add(written);
        }
    }

    /** The first lines of level SEVERE. */
    List<String> severe() {
        return severe;
    }

    /** The last line that it wrote. */
    String last() {
        return last;
    }

    boolean flooded() {
        return flooded;
    }
}
