package sprucehold.change.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An error in a document. Errors are ordered by path, then by problem. Names in annotations are the
 * keys of the JSON form.
 *
 * @param path JSON pointer to the invalid value; empty for the document as a whole
 * @param problem description of the error
 * @param remedy instruction for correcting the error
 */
public record ValidationError(
        String path, @JsonProperty("what") String problem, @JsonProperty("mend") String remedy)
        implements Comparable<ValidationError> {
    @Override
    public int compareTo(ValidationError other) {
        int byPath = path.compareTo(other.path);
        return byPath != 0 ? byPath : problem.compareTo(other.problem);
    }

    @Override
    public String toString() {
        return (path.isEmpty() ? "the document" : path) + ": " + problem + "; " + remedy;
    }
}
