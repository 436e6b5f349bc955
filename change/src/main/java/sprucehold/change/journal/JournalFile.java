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
 * A write-ahead journal: one line an entry, appended and synced. One process owns the file by a
 * lock. The journal ends at the first damaged line; when it is opened, that line and all after it
 * are cut off. Not safe for threads.
 */
public final class JournalFile implements Closeable {
    /** Largest file that is read, in bytes; a thousand versions of large documents take less. */
    private static final long MAX_BYTES = 1L << 30;

    private final FileChannel channel;
    private final List<JournalEntry> entries = new ArrayList<>();
    private String cutOff;

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
     * @throws IOException if the file can't be read or written, or another process owns it
     */
    public static JournalFile open(Path file) throws IOException {
        return new JournalFile(file);
    }

    private void lock(Path file) throws IOException {
        if (!tryLock()) {
            throw new IOException(file + " is another gatherer's: each needs a journal of its own");
        }
    }

    private boolean tryLock() throws IOException {
        try {
            // Held until the channel is closed.
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // Held by this process.
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
                cutOff =
                        file
                                + ", line "
                                + lineNumber
                                + ": not whole; it and what comes after it is left out";
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
                            + " bytes, at most "
                            + MAX_BYTES
                            + " were expected");
        }
        ByteBuffer bytes = ByteBuffer.allocate((int) channel.size());
        int read = 0;
        while (bytes.hasRemaining() && read >= 0) {
            read = channel.read(bytes);
        }
        return bytes.array();
    }

    /** The index of the next line feed, or the length if there is none. */
    private static int endOfLine(byte[] bytes, int start) {
        int end = start;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        return end;
    }

    /** The entries that the file held when it was opened, in order. */
    public List<JournalEntry> entries() {
        return List.copyOf(entries);
    }

    /** What was cut off when the file was opened, as one sentence; null if nothing was. */
    public String cutOff() {
        return cutOff;
    }

    /**
     * Appends an entry and waits until the disk has it.
     *
     * @throws IOException if it can't be written; how much of it is in the file is unknown then
     */
    public void write(JournalEntry entry) throws IOException {
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
