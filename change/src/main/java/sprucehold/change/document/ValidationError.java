package sprucehold.change.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One thing that is wrong with a document. Ordered by path, then by problem. Names in annotations
 * are the keys of its JSON.
 *
 * @param path a JSON pointer to the place; empty for the document as a whole
 * @param problem what is wrong there
 * @param remedy what to do about it
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
