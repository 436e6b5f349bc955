package sprucehold.trace.format;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucehold.trace.event.TraceHeader;

/**
 * Writes the golden file anew: only for a new version of the format, under its own name. Run with
 * the path to write.
 */
public final class GoldenFile {
    private GoldenFile() {}

    public static void main(String[] args) throws IOException {
        Files.write(
                Path.of(args[0]),
                Samples.bytes(TraceHeader.of(Samples.source("g0")), Samples.entries(1, 20), false));
    }
}
