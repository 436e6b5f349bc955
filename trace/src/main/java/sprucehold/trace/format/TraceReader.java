package sprucehold.trace.format;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import sprucehold.trace.event.TraceHeader;

/**
 * Reads one trace file, in memory for two blocks. A file that was cut off is read up to its last
 * whole block; what is wrong with it is in {@link #damage()}.
 */
public final class TraceReader implements Closeable {
    private static final long UNKNOWN = -1;

    private final TraceFile file;

    /** Null where the file has no sound end. */
    private final Directory directory;

    private final String damage;

    private TraceReader(Path path) throws IOException {
        file = new TraceFile(path);
        Directory read = null;
        String readDamage = null;
        try {
            read = Directory.read(file);
        } catch (IOException e) {
            readDamage = TraceFile.firstLine(e);
        } catch (RuntimeException e) {
            file.close();
            throw e;
        }
        directory = read;
        damage = readDamage;
    }

    /**
     * Opens a trace file.
     *
     * @throws MalformedTraceException where not even a header can be read
     */
    public static TraceReader open(Path file) throws IOException {
        return new TraceReader(file);
    }

    /** What the file says of itself. */
    public TraceHeader header() {
        return file.header();
    }

    /** The file's name, without its folder. */
    public String name() {
        return file.name();
    }

    /** Why the index can't be used, or null where the file has a sound end. */
    public String damage() {
        return damage;
    }

    /** Events, commands and gaps in the file by its footer; -1 where that can't be read. */
    public long records() {
        return directory == null ? UNKNOWN : directory.records();
    }

    /** Gaps in the file by its index; -1 where that can't be read. */
    public long gaps() {
        return directory == null ? UNKNOWN : directory.gaps();
    }

    /** The file's length in bytes. */
    public long length() {
        return file.length();
    }

    /** All entries in the order of the file. */
    public TraceCursor all() {
        return select(BlockSelection.all());
    }

    /** All entries of one source; those of others take no memory. */
    public TraceCursor allOf(int source) {
        return all().onlyOf(source);
    }

    /** All entries that can be read from the start on, whatever the index says. */
    TraceCursor withoutIndex() {
        return TraceCursor.withoutIndex(file);
    }

    /** The entries of all blocks that hold something of the query, and perhaps of others. */
    public TraceCursor ofQuery(String id) {
        return select(BlockSelection.query(id));
    }

    /** The entries of all blocks that speak of the shard server, and perhaps of others. */
    public TraceCursor ofServer(String server) {
        return select(BlockSelection.server(server));
    }

    /**
     * The entries of all blocks that hold a time from {@code fromMs} until before {@code toMs}, and
     * others.
     */
    public TraceCursor between(double fromMs, double toMs) {
        return select(BlockSelection.time(fromMs, toMs));
    }

    private TraceCursor select(BlockSelection.Wanted wanted) {
        return directory == null
                ? withoutIndex()
                : TraceCursor.of(file, new BlockSelection(file, directory.indexes(), wanted));
    }

    /**
     * Reads every byte: frames, checksums, order within sources, and whether the index tells just
     * what is there.
     */
    public TraceVerification verify() {
        return directory == null
                ? TraceVerification.unreadable(damage)
                : TraceVerification.of(file, directory);
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
