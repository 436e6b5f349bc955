package sprucehold.trace.format;

import java.io.IOException;

/** Thrown when a file is not a trace file or is damaged; the message contains the position. */
public final class MalformedTraceException extends IOException {
    private static final long serialVersionUID = 1L;
    private final long at;

    /**
     * Creates the exception.
     *
     * @param file the name of the file
     * @param at the position of the fault in the file, in bytes
     * @param problem the description of the fault
     */
    public MalformedTraceException(String file, long at, String problem) {
        super(file + ", byte " + at + ": " + problem);
        this.at = at;
    }

    /** Returns the position of the fault in the file, in bytes. */
    public long at() {
        return at;
    }
}
