package sprucehold.trace.format;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import sprucehold.trace.event.Entry;

/**
 * Result of the verification of a whole trace file.
 *
 * @param valid whether the file is valid
 * @param problem the first fault, or "sound" if there is none
 * @param blocks number of valid blocks read
 * @param entries number of entries in these blocks
 * @param records number of events, commands and gaps in these blocks
 */
public record TraceVerification(
        boolean valid, String problem, long blocks, long entries, long records) {

    /**
     * Checks frames, checksums, the order of entries of each source, and whether the indexes and
     * the directory match the blocks.
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
        private final RebuiltIndex expected;
        private final List<Long> indexesFound = new ArrayList<>();
        private boolean directoryFound;
        private long blocks;
        private long entries;
        private long records;

        Check(TraceFile file, Directory directory) {
            this.file = file;
            this.directory = directory;
            this.expected = new RebuiltIndex(file.header());
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
                if (!indexesFound.equals(directory.indexes()) || records != directory.records()) {
                    throw file.malformed(end, "the directory doesn't tell what the file holds");
                }
                return result(true, "sound");
            } catch (IOException e) {
                return result(false, TraceFile.firstLine(e));
            }
        }

        private void check(Frame frame, long at) throws IOException {
            if (directoryFound) {
                throw file.malformed(at, "a frame after the directory");
            }
            byte[] content = file.content(frame, at);
            if (frame.kind() == Layout.BLOCK) {
                checkBlock(frame, at);
            } else if (frame.kind() == Layout.INDEX) {
                indexesFound.add(at);
                if (!Arrays.equals(content, expected.finishIndex())) {
                    throw file.malformed(
                            at, "the index doesn't tell what the blocks before it hold");
                }
            } else if (frame.kind() == Layout.DIRECTORY) {
                directoryFound = true;
            }
        }

        private void checkBlock(Frame frame, long at) throws IOException {
            List<Entry> decoded = file.entries(frame, at);
            long recordsFound = expected.addBlock(at, frame, decoded);
            if (recordsFound != frame.records()) {
                throw file.malformed(
                        at,
                        "a block of " + recordsFound + " records that tells of " + frame.records());
            }
            blocks++;
            entries += decoded.size();
            records += recordsFound;
        }

        private TraceVerification result(boolean valid, String problem) {
            return new TraceVerification(valid, problem, blocks, entries, records);
        }
    }
}
