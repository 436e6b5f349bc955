package sprucehold.trace.format;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.zip.Deflater;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.TraceHeader;

public class DamagedFileTest {
    private static final TraceHeader HEADER = TraceHeader.of(Samples.source("g0"));

    @DataProvider
    Object[][] compression() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "compression")
    public void fileTruncatedAtAnyByteIsReadUpToItsLastCompleteBlockAndRepaired(boolean deflate)
            throws IOException {
        List<Entry> entries = Samples.entries(2, deflate ? 8 : 4);
        byte[] complete = Samples.bytes(HEADER, entries, deflate);
        int headerEnd = headerEnd(complete);
        Path file = Files.createTempFile("cut", ".trace");
        int previouslyRead = 0;
        for (int length = 0; length < complete.length; length++) {
            Files.write(file, Arrays.copyOf(complete, length));
            if (length < headerEnd) {
                assertThrows(MalformedTraceException.class, () -> TraceReader.open(file));
                continue;
            }
            List<Entry> read = Samples.read(file);
            assertEquals(read, entries.subList(0, read.size()));
            assertTrue(read.size() >= previouslyRead, "at byte " + length);
            previouslyRead = read.size();
            TraceRepair.Repaired repaired = TraceRepair.repair(file);
            assertTrue(repaired.needed() && repaired.entries() == read.size(), "at byte " + length);
            try (TraceReader reader = TraceReader.open(file)) {
                assertTrue(reader.verify().valid(), "at byte " + length);
                assertEquals(Samples.all(reader.all()), read);
            }
        }
        // All entries are read before the file is complete, as the index, the directory and the
        // footer follow the last block.
        assertEquals(previouslyRead, entries.size());
        Files.delete(file);
    }

    private static int headerEnd(byte[] file) {
        return Layout.PREAMBLE_BYTES
                + 4
                + ByteBuffer.wrap(file).order(ByteOrder.LITTLE_ENDIAN).getInt(12);
    }

    @Test(dataProvider = "compression")
    public void everyFlippedBitIsFoundByVerifyOrLeavesTheEntriesUnchanged(boolean deflate)
            throws IOException {
        List<Entry> entries = Samples.entries(4, 3);
        byte[] complete = Samples.bytes(HEADER, entries, deflate);
        Path file = Files.createTempFile("flip", ".trace");
        for (int bit = 0; bit < 8 * complete.length; bit++) {
            byte[] flipped = complete.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file, flipped);
            try (TraceReader reader = TraceReader.open(file)) {
                if (reader.verify().valid()) {
                    assertEquals(reader.header(), HEADER, "bit " + bit);
                    assertEquals(Samples.all(reader.all()), entries, "bit " + bit);
                }
            } catch (MalformedTraceException e) {
                assertTrue(e.getMessage().lines().count() == 1, e.getMessage());
            }
        }
        Files.delete(file);
    }

    @Test
    public void repairKeepsAllBlocksExceptTheDamagedOne() throws IOException {
        List<Entry> entries = Samples.entries(6, 60);
        byte[] complete = Samples.bytes(HEADER, entries, true);
        int first = headerEnd(complete);
        int second =
                first
                        + Layout.FRAME_BYTES
                        + ByteBuffer.wrap(complete)
                                .order(ByteOrder.LITTLE_ENDIAN)
                                .getInt(first + 12);
        complete[second + Layout.FRAME_BYTES + 3] ^= 0x10;
        Path file = Samples.file(complete);
        try (TraceReader reader = TraceReader.open(file)) {
            assertFalse(reader.verify().valid());
            assertThrows(MalformedTraceException.class, () -> Samples.all(reader.all()));
        }
        TraceRepair.repair(file);
        try (TraceReader reader = TraceReader.open(file)) {
            assertTrue(reader.verify().valid());
            List<Entry> kept = Samples.all(reader.all());
            assertTrue(
                    kept.size() == entries.size() - 7 && entries.containsAll(kept),
                    kept.size() + " kept");
            assertTrue(
                    reader.header().lost().get(0).contains("damaged block"),
                    reader.header().lost().toString());
        }
    }

    /** Writes a file with one block and one index from raw bytes; all checksums are valid. */
    private static Path forged(byte[] blockRaw, int records, byte[] indexRaw, byte[] directoryRaw)
            throws IOException {
        byte[] emptyFile = Samples.bytes(HEADER, List.of(), false);
        var out = new ByteArrayOutputStream();
        out.write(emptyFile, 0, headerEnd(emptyFile));
        var deflater = new Deflater(9, true);
        out.write(Frame.write(Layout.BLOCK, blockRaw, 1, records, 0, 0, deflater));
        out.write(Frame.write(Layout.INDEX, indexRaw, 0, 0, Double.NaN, Double.NaN, deflater));
        long directory = out.size();
        out.write(
                Frame.write(
                        Layout.DIRECTORY, directoryRaw, 0, 0, Double.NaN, Double.NaN, deflater));
        ByteBuffer footer = ByteBuffer.allocate(Layout.FOOTER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
        footer.put(Layout.FOOTER_MARKER)
                .putLong(directory)
                .putLong(out.size() + Layout.FOOTER_BYTES)
                .putLong(1);
        footer.putInt(TraceWriter.crc(footer.array(), 28)).put(Layout.MAGIC);
        out.write(footer.array());
        return Samples.file(out.toByteArray());
    }

    private static byte[] varints(long... values) throws IOException {
        var bytes = new ByteArrayOutputStream();
        var out = CodedOutputStream.newInstance(bytes);
        for (long value : values) {
            out.writeUInt64NoTag(value);
        }
        out.flush();
        return bytes.toByteArray();
    }

    /** Returns a policy call with 200,000 names, each one letter longer than the previous one. */
    private static byte[] growingNames() throws IOException {
        var bytes = new ByteArrayOutputStream();
        bytes.write(varints(1, 5, 0, 0, 0, 0, 1));
        bytes.write(varints(38 - 2, 3, 0, 1));
        bytes.write('a');
        for (int i = 0; i < 200_000; i++) {
            byte[] ref = varints(i);
            bytes.write(varints(36, 3 + ref.length, 1));
            bytes.write(ref);
            bytes.write(varints(1));
            bytes.write('a');
        }
        return bytes.toByteArray();
    }

    /** Returns a block of 8 MiB with four million records that deflates to a few KiB. */
    private static byte[] highlyCompressible() throws IOException {
        byte[] raw = new byte[Layout.MAX_RAW_BYTES - 16];
        byte[] policyCall = varints(1, 5, 0, 0, 0, 0, 1);
        System.arraycopy(policyCall, 0, raw, 0, policyCall.length);
        for (int i = policyCall.length; i < raw.length - 1; i += 2) {
            raw[i] = RecordKind.WAKE_UP;
        }
        return raw;
    }

    @DataProvider
    Object[][] hostileFiles() throws IOException {
        byte[] policyCall = varints(1, 5, 0, 0, 0, 0, 0);
        byte[] emptyIndex = varints(0, 0, 0);
        return new Object[][] {
            {"a record of two gigabytes", varints(1, Integer.MAX_VALUE, 0), emptyIndex, null},
            {
                "a list of a billion endpoints",
                varints(1, 5, 0, 0, 0, 0, 1, 14, 7, 1, 1_000_000_000),
                emptyIndex,
                null
            },
            {"names that extend each other", growingNames(), emptyIndex, null},
            {"four million records from a few KiB", highlyCompressible(), emptyIndex, null},
            {"an item before any policy call", varints(17, 0), emptyIndex, null},
            {"an undefined source", varints(1, 5, 7, 0, 0, 0, 0), emptyIndex, null},
            {"an undefined name", varints(1, 5, 0, 0, 0, 0, 1, 13, 1, 99), emptyIndex, null},
            {"an index with a billion blocks", policyCall, varints(1_000_000_000L), null},
            {"an index with a billion queries", policyCall, varints(0, 1_000_000_000L), null},
            {
                "an index of a block beyond itself",
                policyCall,
                varints(1, 1L << 40, 100, 0, 0),
                null
            },
            {
                "a directory with an index listed twice",
                policyCall,
                emptyIndex,
                varints(2, 1, 0, 1, 1, 0, 0)
            },
            {
                "a directory of an index beyond itself",
                policyCall,
                emptyIndex,
                varints(1, 1L << 40, 1, 1, 0, 0)
            },
            {"a directory of a billion indexes", policyCall, emptyIndex, varints(1_000_000_000L)},
        };
    }

    @Test(dataProvider = "hostileFiles")
    public void hostileFileIsRefusedInOneLineWithBoundedMemory(
            String description, byte[] block, byte[] index, byte[] directory) throws IOException {
        byte[] emptyFile = Samples.bytes(HEADER, List.of(), false);
        int blockLength =
                Frame.write(Layout.BLOCK, block, 1, 1, 0, 0, new Deflater(9, true)).length;
        Path file =
                forged(
                        block,
                        1,
                        index,
                        directory != null
                                ? directory
                                : varints(1, headerEnd(emptyFile) + blockLength, 1, 1, 0, 0));
        long allocatedBefore = allocated();
        String message;
        try (TraceReader reader = TraceReader.open(file)) {
            TraceCursor cursor = reader.all();
            Entry entry;
            do {
                entry = cursor.next();
            } while (entry != null);
            TraceVerification verification = reader.verify();
            assertFalse(verification.valid(), description);
            message = verification.problem();
        } catch (MalformedTraceException e) {
            message = e.getMessage();
        }
        assertEquals(message.lines().count(), 1, message);
        // The bound is several times that of a block and doesn't depend on the file.
        assertTrue(
                allocated() - allocatedBefore < 220L << 20,
                description
                        + " took "
                        + ((allocated() - allocatedBefore) >> 20)
                        + " MiB: "
                        + message);
    }

    private static long allocated() {
        var threads =
                (com.sun.management.ThreadMXBean)
                        java.lang.management.ManagementFactory.getThreadMXBean();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    @DataProvider
    Object[][] damagedHeaders() {
        return new Object[][] {
            // position, value of the byte there, part of the error message
            {0, 'X', "no trace file"},
            {8, 2, "version 2 of the format"},
            {15, 0x7f, "a header of "},
            {20, 'x', "checksum"},
        };
    }

    @Test(dataProvider = "damagedHeaders")
    public void fileThatIsNoTraceOrHasANewerVersionIsRefusedInOneLine(
            int at, int value, String message) throws IOException {
        byte[] complete = Samples.bytes(HEADER, Samples.entries(1, 2), true);
        complete[at] = (byte) value;
        Path file = Samples.file(complete);
        try (TraceReader reader = TraceReader.open(file)) {
            throw new AssertionError("read " + reader.header());
        } catch (MalformedTraceException e) {
            assertTrue(
                    e.getMessage().contains(message) && e.getMessage().lines().count() == 1,
                    e.getMessage());
        }
    }
}
