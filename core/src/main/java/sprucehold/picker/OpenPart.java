package sprucehold.picker;

import java.util.ArrayList;
import java.util.List;

/** The books of one part. */
final class OpenPart {
    final String id;
    final int segment;
    final OpenScan scan;
    final List<Dispatch> dispatches = new ArrayList<>();
    byte[] value;

    OpenPart(OpenScan scan, int segment) {
        this.id = scan.scan.id() + "." + segment;
        this.segment = segment;
        this.scan = scan;
    }

    boolean isOut() {
        return dispatches.stream().anyMatch(dispatch -> dispatch.out);
    }
}
