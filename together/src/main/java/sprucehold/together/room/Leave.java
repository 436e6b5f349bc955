package sprucehold.together.room;

import java.util.List;
import sprucehold.together.share.Permit;

/**
 * Leave for one dispatch, or one scan: all permits that it rests on have to hold when it is
 * written.
 */
public record Leave(List<Permit> permits) {
    public Leave {
        permits = List.copyOf(permits);
    }
}
