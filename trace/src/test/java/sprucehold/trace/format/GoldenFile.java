package sprucehold.trace.format;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucehold.trace.event.TraceHeader;

/**
 * Writes a golden file. Use it only for a new version of the format, which gets its own file name.
 * The argument is the path of the file.
 */
public final class GoldenFile {
    private GoldenFile() {}

    public static void main(String[] args) throws IOException {
        Files.write(
                Path.of(args[0]),
                Samples.bytes(TraceHeader.of(Samples.source("g0")), Samples.entries(1, 20), false));
    }
}
