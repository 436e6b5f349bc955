package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import sprucehold.change.journal.JournalFile;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.Version;

public class JournalFileTest {
    private static final List<JournalEntry> ENTRIES =
            List.of(
                    new JournalEntry.Accepted(
                            new Version(2, 1, Documents.variant(1, "s-1"), "näher", 0), "p-1"),
                    new JournalEntry.Live(2),
                    new JournalEntry.Retried(2),
                    new JournalEntry.Dropped(2, "fell\nby much"),
                    new JournalEntry.Accepted(
                            new Version(3, 2, Documents.basic(), "watch", 2), "undo-2"),
                    new JournalEntry.Confirmed(3),
                    new JournalEntry.ShutDown());

    private static Path writeEntries() throws IOException {
        Path file = Files.createTempFile("journal", ".log");
        try (JournalFile journal = JournalFile.open(file)) {
            for (JournalEntry entry : ENTRIES) {
                journal.append(entry);
            }
        }
        return file;
    }

    private static List<JournalEntry> read(Path file) throws IOException {
        try (JournalFile journal = JournalFile.open(file)) {
            return journal.entries();
        }
    }

    @Test
    public void reopenedJournalReturnsItsEntriesAndIsAppendedTo() throws IOException {
        Path file = writeEntries();
        assertEquals(read(file), ENTRIES);
        try (JournalFile journal = JournalFile.open(file)) {
            assertNull(journal.truncationWarning());
            journal.append(new JournalEntry.Live(4));
        }
        assertEquals(read(file).size(), ENTRIES.size() + 1);
    }

    @Test
    public void journalTruncatedAtAnyByteReturnsAllCompleteLinesAndIsAppendedTo()
            throws IOException {
        byte[] written = Files.readAllBytes(writeEntries());
        Path file = Files.createTempFile("journal", ".log");
        for (int length = 0; length < written.length; length++) {
            Files.write(file, Arrays.copyOf(written, length));
            long completeLines = 0;
            for (int i = 0; i < length; i++) {
                completeLines += written[i] == '\n' ? 1 : 0;
            }
            try (JournalFile journal = JournalFile.open(file)) {
                assertEquals(journal.entries(), ENTRIES.subList(0, (int) completeLines));
                assertEquals(
                        journal.truncationWarning() == null,
                        length == 0 || written[length - 1] == '\n');
                journal.append(new JournalEntry.Live(9));
            }
            List<JournalEntry> after = read(file);
            assertEquals(after.size(), completeLines + 1);
            assertEquals(after.get(after.size() - 1), new JournalEntry.Live(9));
        }
    }

    @Test
    public void journalWithAFlippedBitReturnsOnlyUndamagedEntries() throws IOException {
        byte[] written = Files.readAllBytes(writeEntries());
        Path file = Files.createTempFile("journal", ".log");
        for (int bit = 0; bit < 8 * written.length; bit += 3) {
            byte[] flipped = written.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file, flipped);
            List<JournalEntry> read = read(file);
            // A bit that only changes the case of a hexadecimal digit leaves the checksum valid.
            assertEquals(read, ENTRIES.subList(0, read.size()), "bit " + bit);
        }
    }

    /** Returns a journal file with {@link #ENTRIES} that an earlier build wrote. */
    private static byte[] golden() throws IOException {
        try (InputStream in =
                JournalFileTest.class.getResourceAsStream("/golden-versions.journal")) {
            return in.readAllBytes();
        }
    }

    @Test
    public void journalOfAnEarlierBuildIsReadAndWrittenByteForByte() throws IOException {
        Path file = Files.createTempFile("journal", ".log");
        Files.write(file, golden());
        assertEquals(read(file), ENTRIES);
        assertEquals(Files.readString(writeEntries()), Files.readString(file));
    }

    @Test
    public void openingALockedJournalFails() throws IOException {
        Path file = writeEntries();
        try (JournalFile journal = JournalFile.open(file)) {
            assertNotNull(journal);
            assertThrows(IOException.class, () -> JournalFile.open(file));
        }
        assertTrue(read(file).size() == ENTRIES.size());
    }
}
