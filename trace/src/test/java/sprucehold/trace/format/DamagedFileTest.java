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
    private static final TraceHeader HEAD = TraceHeader.of(Samples.source("g0"));

    @DataProvider
    Object[][] forms() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "forms")
    public void fileCutOffAtAnyByteIsReadToItsLastWholeBlockAndRepaired(boolean deflate)
            throws IOException {
        List<Entry> entries = Samples.entries(2, deflate ? 8 : 4);
        byte[] whole = Samples.bytes(HEAD, entries, deflate);
        int headEnds = headEnds(whole);
        Path file = Files.createTempFile("cut", ".trace");
        int readBefore = 0;
        for (int length = 0; length < whole.length; length++) {
            Files.write(file, Arrays.copyOf(whole, length));
            if (length < headEnds) {
                assertThrows(MalformedTraceException.class, () -> TraceReader.open(file));
                continue;
            }
            List<Entry> read = Samples.read(file);
            assertEquals(read, entries.subList(0, read.size()));
            assertTrue(read.size() >= readBefore, "at byte " + length);
            readBefore = read.size();
            TraceRepair.Repaired repaired = TraceRepair.repair(file);
            assertTrue(repaired.needed() && repaired.entries() == read.size(), "at byte " + length);
            try (TraceReader reader = TraceReader.open(file)) {
                assertTrue(reader.verify().sound(), "at byte " + length);
                assertEquals(Samples.all(reader.all()), read);
            }
        }
        // The end of the last block is not the end of the file: index, directory and footer follow.
        assertEquals(readBefore, entries.size());
        Files.delete(file);
    }

    private static int headEnds(byte[] file) {
        return Layout.PREAMBLE_BYTES
                + 4
                + ByteBuffer.wrap(file).order(ByteOrder.LITTLE_ENDIAN).getInt(12);
    }

    @Test(dataProvider = "forms")
    public void everyFlippedBitIsFoundByVerifyOrChangesNothingRead(boolean deflate)
            throws IOException {
        List<Entry> entries = Samples.entries(4, 3);
        byte[] whole = Samples.bytes(HEAD, entries, deflate);
        Path file = Files.createTempFile("flip", ".trace");
        for (int bit = 0; bit < 8 * whole.length; bit++) {
            byte[] flipped = whole.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file, flipped);
            try (TraceReader reader = TraceReader.open(file)) {
                if (reader.verify().sound()) {
                    assertEquals(reader.header(), HEAD, "bit " + bit);
                    assertEquals(Samples.all(reader.all()), entries, "bit " + bit);
                }
            } catch (MalformedTraceException e) {
                assertTrue(e.getMessage().lines().count() == 1, e.getMessage());
            }
        }
        Files.delete(file);
    }

    @Test
    public void damagedBlockAmongOthersCostsNoOtherBlock() throws IOException {
        List<Entry> entries = Samples.entries(6, 60);
        byte[] whole = Samples.bytes(HEAD, entries, true);
        int first = headEnds(whole);
        int second =
                first
                        + Layout.FRAME_BYTES
                        + ByteBuffer.wrap(whole).order(ByteOrder.LITTLE_ENDIAN).getInt(first + 12);
        whole[second + Layout.FRAME_BYTES + 3] ^= 0x10;
        Path file = Samples.file(whole);
        try (TraceReader reader = TraceReader.open(file)) {
            assertFalse(reader.verify().sound());
            assertThrows(MalformedTraceException.class, () -> Samples.all(reader.all()));
        }
        TraceRepair.repair(file);
        try (TraceReader reader = TraceReader.open(file)) {
            assertTrue(reader.verify().sound());
            List<Entry> kept = Samples.all(reader.all());
            assertTrue(
                    kept.size() == entries.size() - 7 && entries.containsAll(kept),
                    kept.size() + " kept");
            assertTrue(
                    reader.header().lost().get(0).contains("damaged block"),
                    reader.header().lost().toString());
        }
    }

    /** A file whose one block and index are given as raw bytes, all checksums right. */
    private static Path forged(byte[] blockRaw, int records, byte[] runRaw, byte[] directoryRaw)
            throws IOException {
        byte[] plain = Samples.bytes(HEAD, List.of(), false);
        var out = new ByteArrayOutputStream();
        out.write(plain, 0, headEnds(plain));
        var deflater = new Deflater(9, true);
        out.write(Frame.write(Layout.BLOCK, blockRaw, 1, records, 0, 0, deflater));
        out.write(Frame.write(Layout.INDEX, runRaw, 0, 0, Double.NaN, Double.NaN, deflater));
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

    /** A moment and then as many names as fit, each the one before and a letter more. */
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

    /** Eight MiB that deflate from a few KiB to four million records. */
    private static byte[] bomb() throws IOException {
        byte[] raw = new byte[Layout.MAX_RAW_BYTES - 16];
        byte[] moment = varints(1, 5, 0, 0, 0, 0, 1);
        System.arraycopy(moment, 0, raw, 0, moment.length);
        for (int i = moment.length; i < raw.length - 1; i += 2) {
            raw[i] = RecordKind.WAKE_UP;
        }
        return raw;
    }

    @DataProvider
    Object[][] hostile() throws IOException {
        byte[] moment = varints(1, 5, 0, 0, 0, 0, 0);
        byte[] goodRun = varints(0, 0, 0);
        return new Object[][] {
            {"a record of two gigabytes", varints(1, Integer.MAX_VALUE, 0), goodRun, null},
            {
                "a list of a billion servers",
                varints(1, 5, 0, 0, 0, 0, 1, 14, 7, 1, 1_000_000_000),
                goodRun,
                null
            },
            {"names that grow out of each other", growingNames(), goodRun, null},
            {"four million records from nearly nothing", bomb(), goodRun, null},
            {"an item before any policy call", varints(17, 0), goodRun, null},
            {"a source that isn't there", varints(1, 5, 7, 0, 0, 0, 0), goodRun, null},
            {"a name that isn't there", varints(1, 5, 0, 0, 0, 0, 1, 13, 1, 99), goodRun, null},
            {"a run with a billion blocks", moment, varints(1_000_000_000L), null},
            {"a run with a billion scans", moment, varints(0, 1_000_000_000L), null},
            {"a run that leads beyond itself", moment, varints(1, 1L << 40, 100, 0, 0), null},
            {"a directory whose runs stand still", moment, goodRun, varints(2, 1, 0, 1, 1, 0, 0)},
            {
                "a directory whose runs lead beyond it",
                moment,
                goodRun,
                varints(1, 1L << 40, 1, 1, 0, 0)
            },
            {"a directory of a billion runs", moment, goodRun, varints(1_000_000_000L)},
        };
    }

    @Test(dataProvider = "hostile")
    public void hostileFileCostsOneErrorAndNoMemory(
            String what, byte[] block, byte[] run, byte[] directory) throws IOException {
        byte[] plain = Samples.bytes(HEAD, List.of(), false);
        int blockLength =
                Frame.write(Layout.BLOCK, block, 1, 1, 0, 0, new Deflater(9, true)).length;
        Path file =
                forged(
                        block,
                        1,
                        run,
                        directory != null
                                ? directory
                                : varints(1, headEnds(plain) + blockLength, 1, 1, 0, 0));
        long before = allocated();
        String said;
        try (TraceReader reader = TraceReader.open(file)) {
            TraceCursor cursor = reader.all();
            Entry entry;
            do {
                entry = cursor.next();
            } while (entry != null);
            TraceVerification verdict = reader.verify();
            assertFalse(verdict.sound(), what);
            said = verdict.what();
        } catch (MalformedTraceException e) {
            said = e.getMessage();
        }
        assertEquals(said.lines().count(), 1, said);
        // Several times a block's bound, whatever the file claims.
        assertTrue(
                allocated() - before < 220L << 20,
                what + " took " + ((allocated() - before) >> 20) + " MiB: " + said);
    }

    private static long allocated() {
        var threads =
                (com.sun.management.ThreadMXBean)
                        java.lang.management.ManagementFactory.getThreadMXBean();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    @DataProvider
    Object[][] beginnings() {
        return new Object[][] {
            // place, value of the byte there, what is said
            {0, 'X', "no trace file"},
            {8, 2, "version 2 of the format"},
            {15, 0x7f, "a head of "},
            {20, 'x', "checksum"},
        };
    }

    @Test(dataProvider = "beginnings")
    public void fileThatIsNoneOrOfANewerVersionIsRefusedInOneLine(int at, int value, String said)
            throws IOException {
        byte[] whole = Samples.bytes(HEAD, Samples.entries(1, 2), true);
        whole[at] = (byte) value;
        Path file = Samples.file(whole);
        try (TraceReader reader = TraceReader.open(file)) {
            throw new AssertionError("read " + reader.header());
        } catch (MalformedTraceException e) {
            assertTrue(
                    e.getMessage().contains(said) && e.getMessage().lines().count() == 1,
                    e.getMessage());
        }
    }
}
