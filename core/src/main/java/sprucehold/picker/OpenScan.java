package sprucehold.picker;

import java.util.List;
import sprucehold.port.TableType;

/** The books of one scan that has no final answer yet. */
final class OpenScan {
    final Scan scan;
    final double endsAt;
    final List<OpenPart> parts;
    boolean over;

    /** As it was taken, but for how often its parts may run, which a change may bind further. */
    TableType type;

    OpenScan(Scan scan, TableType type, double endsAt) {
        this.scan = scan;
        this.type = type;
        this.endsAt = endsAt;
        this.parts = scan.parts().stream().map(part -> new OpenPart(this, part.segment())).toList();
    }
}
