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
 * Reads all output of a process, so that its pipe never fills up, and writes the first part of it
 * to a file. Also keeps the first lines of level SEVERE. Thread-safe.
 */
final class BoundedLog {
    /**
     * Maximum size of the file, in bytes. It is enough for a run of ten minutes, as a gatherer
     * writes some hundred bytes for each query.
     */
    private static final long MAX_BYTES = 64L << 20;

    private final Path file;
    private final long maxBytes;
    private volatile long written;
    private volatile boolean truncated;
    private volatile String lastLine = "it wrote nothing";

    /**
     * Maximum length of a line, in characters. The rest of a longer line is treated as further
     * lines.
     */
    private static final int MAX_LINE_CHARS = 16 * 1024;

    private static final int MAX_SEVERE_LINES = 5;

    /**
     * Matches a line of level SEVERE in either log format, text or JSON. The level is the second
     * field in both; any text may follow it.
     */
    private static final Pattern SEVERE =
            Pattern.compile("\\S+ SEVERE |\\{\"time\":\"[^\"]*\",\"level\":\"SEVERE\"");

    private final StringBuilder line = new StringBuilder();
    private final List<String> severe = new CopyOnWriteArrayList<>();

    BoundedLog(Path file) {
        this(file, MAX_BYTES);
    }

    BoundedLog(Path file, long maxBytes) {
        this.file = file;
        this.maxBytes = maxBytes;
    }

    /** Reads the stream on a separate thread until the process closes its end. */
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
                int keep = (int) Math.max(0, Math.min(read, maxBytes - written));
                out.write(bytes, 0, keep);
                written += keep;
                truncated |= keep < read;
                splitIntoLines(new String(bytes, 0, read, StandardCharsets.UTF_8));
            }
            addLine(line.toString());
        } catch (IOException e) {
            // The process was killed while it wrote, or the disk is full. The run continues.
            lastLine = "its log can't be kept: " + e.getMessage();
        }
    }

    private void splitIntoLines(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) != '\n' && line.length() < MAX_LINE_CHARS) {
                line.append(text.charAt(i));
            } else {
                addLine(line.toString());
                line.setLength(0);
            }
        }
    }

    private void addLine(String written) {
        if (!written.isBlank()) {
            lastLine = written;
        }
        if (severe.size() < MAX_SEVERE_LINES && SEVERE.matcher(written).lookingAt()) {
            severe.add(written);
        }
    }

    /** Returns the first lines of level SEVERE. */
    List<String> severeLines() {
        return severe;
    }

    /** Returns the last line that the process wrote. */
    String lastLine() {
        return lastLine;
    }

    boolean truncated() {
        return truncated;
    }
}
