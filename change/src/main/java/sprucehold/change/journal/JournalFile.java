package sprucehold.change.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sprucehold.change.version.JournalEntry;

/**
 * Write-ahead journal file with one line per entry. Each entry is appended and synced to disk. The
 * file is locked, so that only one process uses it. When the journal is opened, it is truncated
 * before the first damaged line. Not thread-safe.
 */
public final class JournalFile implements Closeable {
    /** Largest file that is read, in bytes; a thousand versions of large documents need less. */
    private static final long MAX_BYTES = 1L << 30;

    private final FileChannel channel;
    private final List<JournalEntry> entries = new ArrayList<>();
    private String truncationWarning;

    private JournalFile(Path file) throws IOException {
        channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        try {
            lock(file);
            read(file);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens a journal and reads its entries; creates the file if there is none.
     *
     * @throws IOException if the file can't be read or written, or it is already locked by this or
     *     another process
     */
    public static JournalFile open(Path file) throws IOException {
        return new JournalFile(file);
    }

    private void lock(Path file) throws IOException {
        if (!tryLock()) {
            throw new IOException(file + " is locked: each gatherer needs a journal of its own");
        }
    }

    private boolean tryLock() throws IOException {
        try {
            // The lock lasts until the channel is closed.
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // This process already has the lock.
            return false;
        }
    }

    private void read(Path file) throws IOException {
        byte[] bytes = readAll(file);
        int start = 0;
        int lineNumber = 1;
        while (start < bytes.length) {
            int end = endOfLine(bytes, start);
            Optional<JournalEntry> entry =
                    end == bytes.length ? Optional.empty() : JournalLine.decode(bytes, start, end);
            if (entry.isEmpty()) {
                truncationWarning =
                        file
                                + ", line "
                                + lineNumber
                                + ": damaged; this line and all lines after it are cut off";
                break;
            }
            entries.add(entry.get());
            start = end + 1;
            lineNumber++;
        }
        channel.truncate(start);
        channel.position(start);
    }

    private byte[] readAll(Path file) throws IOException {
        if (channel.size() > MAX_BYTES) {
            throw new IOException(
                    file
                            + " has "
                            + channel.size()
                            + " bytes, but at most "
                            + MAX_BYTES
                            + " are read");
        }
        ByteBuffer bytes = ByteBuffer.allocate((int) channel.size());
        int read = 0;
        while (bytes.hasRemaining() && read >= 0) {
            read = channel.read(bytes);
        }
        return bytes.array();
    }

    /** Returns the index of the next line feed, or the length of the array if there is none. */
    private static int endOfLine(byte[] bytes, int start) {
        int end = start;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        return end;
    }

    /** Returns the entries that were read when the file was opened, in order. */
    public List<JournalEntry> entries() {
        return List.copyOf(entries);
    }

    /**
     * Returns a sentence that states where the file was truncated when it was opened, or null if it
     * was not truncated.
     */
    public String truncationWarning() {
        return truncationWarning;
    }

    /**
     * Appends an entry and waits until it is synced to disk.
     *
     * @throws IOException if the entry can't be written; the file may then contain a part of it
     */
    public void append(JournalEntry entry) throws IOException {
        ByteBuffer line = JournalLine.encode(entry);
        while (line.hasRemaining()) {
            channel.write(line);
        }
        channel.force(false);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
