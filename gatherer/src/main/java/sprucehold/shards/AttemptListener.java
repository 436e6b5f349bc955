package sprucehold.shards;

import sprucehold.picker.Dispatch;

/** Is told of each attempt at the moment at which it begins. */
@FunctionalInterface
public interface AttemptListener {
    /** The frame of the attempt is handed to its connection now, whatever was waited for before. */
    void begun(Dispatch attempt);
}
