package sprucehold.picker;

import java.util.List;

/** The books of one scan that has no final answer yet. */
final class OpenScan {
    final Scan scan;
    final double endsAt;
    final List<OpenPart> parts;
    boolean over;

    OpenScan(Scan scan, double now) {
        this.scan = scan;
        this.endsAt = now + scan.timeLeftMs();
        this.parts = scan.parts().stream().map(part -> new OpenPart(this, part.segment())).toList();
    }
}
