package sprucehold.picker;

import java.util.List;

/**
 * A client's scan as it came.
 *
 * @param customer the name; one that isn't known counts as none
 * @param timeLeftMs how long the client will wait from now on
 * @param text what each part carries
 */
public record Scan(String id, String tableType, String customer, double timeLeftMs, List<Part> parts, byte[] text) {

    /** A part: its segment and its share of the whole answer. */
    public record Part(int segment, double weight) {
    }
}
