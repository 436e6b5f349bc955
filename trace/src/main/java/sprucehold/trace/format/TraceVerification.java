package sprucehold.trace.format;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import sprucehold.trace.event.Entry;

/**
 * What a check of every byte of a trace file found.
 *
 * @param sound whether nothing is wrong
 * @param what is wrong, or "sound"
 * @param blocks sound blocks read
 * @param entries entries in them
 * @param records events, commands and gaps in them
 */
public record TraceVerification(
        boolean sound, String what, long blocks, long entries, long records) {

    /**
     * Checks frames, checksums, order within sources, and whether the index tells what is there.
     */
    static TraceVerification of(TraceFile file, Directory directory) {
        return new Check(file, directory).run();
    }

    static TraceVerification unreadable(String damage) {
        return new TraceVerification(false, damage, 0, 0, 0);
    }

    private static final class Check {
        private final TraceFile file;
        private final Directory directory;
        private final RewrittenIndex expected;
        private final List<Long> indexesMet = new ArrayList<>();
        private boolean directoryMet;
        private long blocks;
        private long entries;
        private long records;

        Check(TraceFile file, Directory directory) {
            this.file = file;
            this.directory = directory;
            this.expected = new RewrittenIndex(file.header());
        }

        TraceVerification run() {
            try {
                long at = file.firstFrame();
                long end = file.length() - Layout.FOOTER_BYTES;
                while (at < end) {
                    Frame frame = file.frame(at, end);
                    check(frame, at);
                    at += frame.length();
                }
                if (!indexesMet.equals(directory.indexes()) || records != directory.records()) {
                    throw file.malformed(end, "the directory doesn't tell what the file holds");
                }
                return found(true, "sound");
            } catch (IOException e) {
                return found(false, TraceFile.firstLine(e));
            }
        }

        private void check(Frame frame, long at) throws IOException {
            if (directoryMet) {
                throw file.malformed(at, "a frame after the directory");
            }
            byte[] content = file.content(frame, at);
            if (frame.kind() == Layout.BLOCK) {
                checkBlock(frame, at);
            } else if (frame.kind() == Layout.INDEX) {
                indexesMet.add(at);
                if (!Arrays.equals(content, expected.index())) {
                    throw file.malformed(
                            at, "the index doesn't tell what the blocks before it hold");
                }
            } else if (frame.kind() == Layout.DIRECTORY) {
                directoryMet = true;
            }
        }

        private void checkBlock(Frame frame, long at) throws IOException {
            List<Entry> found = file.entries(frame, at);
            long recordsFound = expected.block(at, frame, found);
            if (recordsFound != frame.records()) {
                throw file.malformed(
                        at,
                        "a block of " + recordsFound + " records that tells of " + frame.records());
            }
            blocks++;
            entries += found.size();
            records += recordsFound;
        }

        private TraceVerification found(boolean sound, String what) {
            return new TraceVerification(sound, what, blocks, entries, records);
        }
    }
}
