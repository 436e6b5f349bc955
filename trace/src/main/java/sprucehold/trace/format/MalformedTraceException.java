package sprucehold.trace.format;

import java.io.IOException;

/** A file isn't a trace, or is damaged: says where, and what was expected there. */
public final class MalformedTraceException extends IOException {
    private static final long serialVersionUID = 1L;
    private final long at;

    /**
     * @param file the file's name
     * @param at the byte at which it was noticed
     */
    public MalformedTraceException(String file, long at, String what) {
        super(file + ", byte " + at + ": " + what);
        this.at = at;
    }

    /** The byte at which it was noticed. */
    public long at() {
        return at;
    }
}
