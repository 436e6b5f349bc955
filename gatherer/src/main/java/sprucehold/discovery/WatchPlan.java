package sprucehold.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Which calls follow the list, as a state machine. Pure: told the time and how calls ended, it says what to do.
 *
 * <p>One long call waits for news at all times: a silent discovery that comes back answers it at once, and what it tells then
 * counts as told at once, too. But a long call that has fallen silent for good looks just like one that waits. So beside it a
 * <em>glance</em> asks from time to time, and hardly waits: if it brings what the long call should have brought, that one is
 * broken and is opened anew. Glances only add to what is known; one that isn't answered says nothing of the long call.
 */
final class WatchPlan {
    /** How long discovery may keep a call; long, since what it holds back counts as told only after that. */
    static final int WAIT_MS = 20_000;
    /** An answer on the way may take this long more. */
    static final int WAY_MS = 1000;
    /** Well inside the 200 ms after which a watch is over. */
    private static final int PAUSE_MS = 50;
    /**
     * How long after the last word of discovery a glance is due. What a silent call misses counts as told six seconds after: this
     * and the way leave time for two glances.
     */
    static final int GLANCE_MS = 2000;
    /** As short as a call may wait: it tells what is there. */
    private static final int GLANCE_WAIT_MS = 1;

    /**
     * A call for the list.
     *
     * @param number tells it from all others
     * @param after the version after which news is asked for; below 0 for the whole list
     * @param waitMs how long discovery may keep it, in milliseconds
     * @param giveUpMs when it has failed for want of an answer, in milliseconds from its begin
     * @param madeAt its begin
     */
    record Call(long number, long after, int waitMs, int giveUpMs, double madeAt) {
    }

    /** What is to be done, in this order. */
    sealed interface Step {
        /** To make a call. */
        record Ask(Call call) implements Step {
        }

        /** To forget a call and close its connection. */
        record Drop(long number) implements Step {
        }

        /** To tell what came. */
        record Tell(ListNews news) implements Step {
        }

        /** To tell that the list can't be followed, and why; when to ask again is for whoever is told to say. */
        record TellFailed(String why) implements Step {
        }

        /** To tell operators; {@code trouble} if something is wrong, and not only over. */
        record Note(boolean trouble, String line) implements Step {
        }
    }

    private final boolean pushed;
    private final double fallbackMs;
    private long numbers;
    private long index = -1;
    private Call main;
    private Call glance;
    /** When something is due of itself. */
    private double mainDueAt = Double.POSITIVE_INFINITY;
    private double glanceDueAt = Double.POSITIVE_INFINITY;
    private boolean lost;
    private List<Step> steps = new ArrayList<>();

    /**
     * @param pushed whether the list is pushed to an agent nearby, which answers at no cost; where it is asked for, each call
     *        costs the list service, so no glance is made
     * @param fallbackMs after a failure nobody asked about, when to ask all the same
     */
    WatchPlan(boolean pushed, double fallbackMs) {
        this.pushed = pushed;
        this.fallbackMs = fallbackMs;
    }

    /** Calls now unless the long call is under way. */
    List<Step> ask(double now) {
        if (main == null) {
            open(now);
        }
        return taken();
    }

    /** Discovery is elsewhere now, and versions of the two need not go together. */
    List<Step> moved(double now) {
        drop();
        index = -1;
        open(now);
        return taken();
    }

    private void drop() {
        for (Call call : new Call[] {main, glance}) {
            if (call != null) {
                steps.add(new Step.Drop(call.number));
            }
        }
        main = null;
        glance = null;
        glanceDueAt = Double.POSITIVE_INFINITY;
    }

    private void open(double now) {
        mainDueAt = Double.POSITIVE_INFINITY;
        main = index < 0 ? new Call(++numbers, -1, 0, 2 * WAY_MS, now)
                : new Call(++numbers, index, WAIT_MS, WAIT_MS + WAY_MS, now);
        steps.add(new Step.Ask(main));
        if (pushed && index >= 0 && glance == null) {
            glanceDueAt = Math.min(glanceDueAt, now + GLANCE_MS);
        }
    }

    /** A call was answered. */
    List<Step> answered(double now, long number, ListNews news) {
        boolean ofMain = main != null && number == main.number;
        boolean ofGlance = glance != null && number == glance.number;
        if (!ofMain && !ofGlance) {
            return List.of();
        }
        if (news.index() < index) {
            // Whatever it is that discovery tells from now on, it isn't a change to the list that is held.
            drop();
            index = -1;
            fail(now, "its index went back");
            return taken();
        }
        boolean newer = news.index() > index || ofMain && !news.servers().isEmpty();
        index = news.index();
        if (lost) {
            lost = false;
            steps.add(new Step.Note(false, "the list is followed again, at index " + index));
        }
        if (newer) {
            steps.add(new Step.Tell(news));
        }
        glanceDueAt = pushed ? now + GLANCE_MS : Double.POSITIVE_INFINITY;
        if (ofGlance) {
            glance = null;
            if (main == null) {
                // It waited to be made again, and discovery answers.
                open(now);
            } else if (newer) {
                steps.add(new Step.Note(true, "a call for the list had fallen silent and is made anew, at index " + index));
                steps.add(new Step.Drop(main.number));
                open(now);
            }
        } else if (!newer && now - main.madeAt < PAUSE_MS) {
            main = null;
            mainDueAt = now + PAUSE_MS;
        } else {
            open(now);
        }
        return taken();
    }

    /** A call failed, or had no answer in its time. */
    List<Step> failed(double now, long number, String why) {
        if (main != null && number == main.number) {
            main = null;
            fail(now, why);
        } else if (glance != null && number == glance.number) {
            // Again at once, but never more than one in the time that an answer may take.
            glanceDueAt = Math.max(now + PAUSE_MS, glance.madeAt + WAY_MS);
            glance = null;
        }
        return taken();
    }

    private void fail(double now, String why) {
        boolean again = pushed && !lost;
        if (!lost) {
            lost = true;
            steps.add(new Step.Note(true, "the list can't be followed and is kept as it is: " + why));
        }
        // Within 200 ms the watch goes on as if nothing had been. Only once, and not where a call costs the list service.
        mainDueAt = now + (again ? PAUSE_MS : fallbackMs);
        steps.add(new Step.TellFailed(why));
    }

    /** The time of {@link #dueAt} has come. */
    List<Step> woken(double now) {
        if (main == null && now >= mainDueAt) {
            open(now);
        }
        if (glance == null && now >= glanceDueAt) {
            glanceDueAt = Double.POSITIVE_INFINITY;
            glance = new Call(++numbers, index, GLANCE_WAIT_MS, WAY_MS, now);
            steps.add(new Step.Ask(glance));
        }
        return taken();
    }

    /** When to wake it, however often it is told otherwise; infinite if never. */
    double dueAt() {
        return Math.min(mainDueAt, glanceDueAt);
    }

    private List<Step> taken() {
        List<Step> taken = steps;
        steps = new ArrayList<>();
        return taken;
    }
}
