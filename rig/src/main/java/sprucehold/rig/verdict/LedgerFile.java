package sprucehold.rig.verdict;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucehold.standin.ledger.Seen;

/** Stores ledgers as JSON lines: one entry per line, with its type in the field {@code seen}. */
public final class LedgerFile {
    private static final ObjectMapper JSON = mapper();

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "seen")
    private interface TypeName {}

    private LedgerFile() {}

    private static ObjectMapper mapper() {
        var mapper = JsonMapper.builder().addMixIn(Seen.class, TypeName.class).build();
        for (Class<?> kind : Seen.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(kind, kind.getSimpleName()));
        }
        return mapper;
    }

    public static void write(Path file, List<Seen> entries) throws IOException {
        var writer = JSON.writerFor(Seen.class);
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (Seen seen : entries) {
                out.write(writer.writeValueAsString(seen));
                out.newLine();
            }
        }
    }

    /**
     * Reads the entries of a ledger.
     *
     * @throws IOException with file and line if a line can't be read
     */
    public static List<Seen> read(Path file) throws IOException {
        var reader = JSON.readerFor(Seen.class);
        var entries = new ArrayList<Seen>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                try {
                    entries.add(reader.readValue(line));
                } catch (JsonProcessingException e) {
                    throw new IOException(
                            file
                                    + ", line "
                                    + (entries.size() + 1)
                                    + ": a ledger entry was expected: "
                                    + e.getOriginalMessage(),
                            e);
                }
            }
        }
        return entries;
    }
}
