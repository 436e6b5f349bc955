package sprucehold.trace.format;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import sprucehold.trace.event.TraceHeader;

/**
 * Reads one trace file and keeps at most two blocks in memory. A truncated file is read up to its
 * last complete block; {@link #damage()} describes the fault. If the footer or the directory is
 * invalid, the indexes can't be found, and every cursor reads the file frame by frame.
 */
public final class TraceReader implements Closeable {
    private static final long UNKNOWN = -1;

    private final TraceFile file;

    /** Content of the directory; null if the file's footer or directory is invalid. */
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
     * @throws MalformedTraceException if the header can't be read
     */
    public static TraceReader open(Path file) throws IOException {
        return new TraceReader(file);
    }

    /** Returns the file's header. */
    public TraceHeader header() {
        return file.header();
    }

    /** Returns the file's name without its folder. */
    public String name() {
        return file.name();
    }

    /** Returns why the indexes can't be used; null if the footer and the directory are valid. */
    public String damage() {
        return damage;
    }

    /** Returns the number of events, commands and gaps in the file; -1 if it can't be read. */
    public long records() {
        return directory == null ? UNKNOWN : directory.records();
    }

    /** Returns the number of gaps in the file; -1 if it can't be read. */
    public long gaps() {
        return directory == null ? UNKNOWN : directory.gaps();
    }

    /** Returns the file's length in bytes. */
    public long length() {
        return file.length();
    }

    /** Returns a cursor over all entries in the order of the file. */
    public TraceCursor all() {
        return select(BlockSelection.all());
    }

    /** Returns a cursor over all entries of one source; it keeps no entries of other sources. */
    public TraceCursor allOf(int source) {
        return all().ofSource(source);
    }

    /** Returns a cursor that reads the file frame by frame and ignores the indexes. */
    TraceCursor withoutIndex() {
        return TraceCursor.withoutIndex(file);
    }

    /**
     * Returns a cursor over the entries of all blocks with items of the query. These blocks may
     * contain other entries as well.
     */
    public TraceCursor ofQuery(String id) {
        return select(BlockSelection.query(id));
    }

    /**
     * Returns a cursor over the entries of all blocks with items that refer to the shard server.
     * These blocks may contain other entries as well.
     */
    public TraceCursor ofServer(String server) {
        return select(BlockSelection.server(server));
    }

    /**
     * Returns a cursor over the entries of all blocks whose time range overlaps the time from
     * {@code fromMs}, inclusive, to {@code toMs}, exclusive. These blocks may contain other entries
     * as well.
     */
    public TraceCursor between(double fromMs, double toMs) {
        return select(BlockSelection.time(fromMs, toMs));
    }

    private TraceCursor select(BlockSelection.BlockFilter filter) {
        return directory == null
                ? withoutIndex()
                : TraceCursor.of(file, new BlockSelection(file, directory.indexes(), filter));
    }

    /**
     * Reads the whole file and checks frames, checksums, the order of entries of each source, and
     * whether the indexes and the directory match the blocks.
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
