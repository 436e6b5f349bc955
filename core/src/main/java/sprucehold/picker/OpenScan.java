package sprucehold.picker;

import java.util.List;

/** The books of one scan that has no final answer yet. */
final class OpenScan {
    final Scan scan;
    final double endsAt;
    final List<OpenPart> parts;
    boolean over;

    OpenScan(Scan scan, double endsAt) {
        this.scan = scan;
        this.endsAt = endsAt;
        this.parts = scan.parts().stream().map(part -> new OpenPart(this, part.segment())).toList();
    }
}
