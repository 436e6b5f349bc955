package sprucehold.change.document;

/**
 * One thing that is wrong with a document.
 *
 * @param path where, as a JSON pointer; empty for the document as a whole
 * @param what what is wrong there
 * @param mend what to do about it
 */
public record ValidationError(String path, String what, String mend)
        implements Comparable<ValidationError> {
    @Override
    public int compareTo(ValidationError other) {
        int byPath = path.compareTo(other.path);
        return byPath != 0 ? byPath : what.compareTo(other.what);
    }

    @Override
    public String toString() {
        return (path.isEmpty() ? "the document" : path) + ": " + what + "; " + mend;
    }
}
