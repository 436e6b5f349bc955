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

/** Rewrites a truncated or damaged trace file with all its readable blocks and new indexes. */
public final class TraceRepair {
    private TraceRepair() {}

    /**
     * Result of a repair.
     *
     * @param needed false if the file was valid and nothing was written
     * @param entries number of entries kept
     * @param lostBytes number of bytes after the last readable frame, including a footer there
     * @param problem the fault; null if the file was valid
     */
    public record Repaired(boolean needed, long entries, long lostBytes, String problem) {}

    /**
     * Writes all readable blocks and new indexes to a temporary file in the same folder, and then
     * replaces the file with it, atomically where the file system allows that. Only data that can't
     * be read is lost.
     *
     * @throws MalformedTraceException if the header can't be read
     */
    public static Repaired repair(Path file) throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            if (reader.verify().valid()) {
                return new Repaired(false, 0, 0, null);
            }
            Path repaired = file.resolveSibling(file.getFileName() + ".repaired");
            // Reads frame by frame even if there is an index, as the index may list damaged blocks.
            TraceCursor scan = reader.withoutIndex();
            Entry scanned = scan.next();
            while (scanned != null) {
                scanned = scan.next();
            }
            var lost = new ArrayList<>(reader.header().lost());
            scan.skippedBlocks()
                    .forEach(damage -> lost.add("a damaged block was left out: " + damage));
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
                try (FileChannel channel = FileChannel.open(repaired, StandardOpenOption.WRITE)) {
                    channel.force(true);
                }
                replace(repaired, file);
            } finally {
                Files.deleteIfExists(repaired);
            }
            String reason =
                    reader.damage() != null
                            ? reader.damage()
                            : scan.skippedBlocks().isEmpty()
                                    ? reader.verify().problem()
                                    : scan.skippedBlocks().get(0);
            return new Repaired(true, entries, reader.length() - cursor.readUpTo(), reason);
        }
    }

    private static void replace(Path from, Path to) throws IOException {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Creates or truncates a file and opens a buffered stream to it. */
    public static OutputStream createFile(Path file) throws IOException {
        return new BufferedOutputStream(Files.newOutputStream(file), 1 << 16);
    }
}
