package sprucehold.trace.format;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.TraceHeader;

/** Gives a file that was cut off its index back. */
public final class TraceRepair {
    private TraceRepair() {}

    /**
     * What a repair did.
     *
     * @param needed false where the file was sound and nothing was written
     * @param entries entries kept
     * @param lostBytes bytes after the last whole block
     * @param why what was wrong
     */
    public record Repaired(boolean needed, long entries, long lostBytes, String why) {}

    /**
     * Writes all whole blocks and their index beside the file, and puts that in its place at once.
     * What the file loses is what nobody could read.
     *
     * @throws MalformedTraceException where not even the header can be read
     */
    public static Repaired repair(Path file) throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            if (reader.verify().sound()) {
                return new Repaired(false, 0, 0, null);
            }
            Path repaired = file.resolveSibling(file.getFileName() + ".repaired");
            // Frame by frame even where there is an index: it may tell of blocks that are damaged.
            TraceCursor look = reader.withoutIndex();
            Entry met = look.next();
            while (met != null) {
                met = look.next();
            }
            var lost = new ArrayList<>(reader.header().lost());
            look.skipped().forEach(what -> lost.add("a damaged block was left out: " + what));
            TraceHeader header =
                    new TraceHeader(
                            reader.header().sources(),
                            reader.header().oneIn(),
                            reader.header().anonymised(),
                            reader.header().window(),
                            lost);
            TraceCursor cursor = reader.withoutIndex();
            long entries = 0;
            try {
                var writer =
                        new TraceWriter(
                                new BufferedOutputStream(Files.newOutputStream(repaired)), header);
                try (writer) {
                    for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                        writer.add(entry);
                        entries++;
                    }
                }
                try (FileChannel written = FileChannel.open(repaired, StandardOpenOption.WRITE)) {
                    written.force(true);
                }
                move(repaired, file);
            } finally {
                Files.deleteIfExists(repaired);
            }
            String why =
                    reader.damage() != null
                            ? reader.damage()
                            : look.skipped().isEmpty()
                                    ? reader.verify().what()
                                    : look.skipped().get(0);
            return new Repaired(true, entries, reader.length() - cursor.readTo(), why);
        }
    }

    private static void move(Path from, Path to) throws IOException {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Opens a stream to write a file through. */
    public static OutputStream create(Path file) throws IOException {
        return new BufferedOutputStream(Files.newOutputStream(file), 1 << 16);
    }
}
