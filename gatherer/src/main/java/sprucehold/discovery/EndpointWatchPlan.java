package sprucehold.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Which calls follow the list, as a state machine. Pure: told the time and how calls ended, it says
 * what to do.
 *
 * <p>A call waits for news at all times: a discovery that was silent and comes back answers it at
 * once, and what it tells then counts as told at once, too. But a call that has fallen silent for
 * good looks just like one that waits. So where the list is pushed to an agent nearby, which
 * answers at no cost, calls wait for a short time only. One without an answer by then stays open,
 * and another is made beside it. Where the list is asked for, each call costs the list service:
 * there calls wait long, and one without an answer by then has failed.
 */
final class EndpointWatchPlan {
    /** How long a call may be kept where each costs the list service. */
    static final int ASKED_WAIT_MS = 20_000;

    /**
     * How long the agent may keep a call. What a silent call misses counts as told six seconds
     * after it fell silent: this and the way leave half of that.
     */
    static final int PUSHED_WAIT_MS = 2000;

    /** As short as a call may wait: it tells what is there. */
    private static final int LEAST_WAIT_MS = 1;

    /** An answer on the way may take this long more. */
    static final int WAY_MS = 1000;

    /** How long a call to the agent is left open; longer than it takes to be replaced twice. */
    private static final int LEFT_OPEN_MS = 20_000;

    /** Well inside the 200 ms after which a watch is over. */
    private static final int PAUSE_MS = 50;

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
        /** When it should have been answered. */
        double dueAt() {
            return madeAt + waitMs + (after < 0 ? 2 * WAY_MS : WAY_MS);
        }
    }

    /** What is to be done, in this order. */
    sealed interface Step {
        /** To make a call. */
        record Ask(Call call) implements Step {}

        /** To forget a call and close its connection. */
        record Drop(long number) implements Step {}

        /** To tell what came. */
        record Tell(EndpointListReader news) implements Step {}

        /**
         * To tell that the list can't be followed, and why; when to ask again is for whoever is
         * told to say.
         */
        record TellFailed(String why) implements Step {}

        /** To tell operators; {@code trouble} if something is wrong, and not only over. */
        record Note(boolean trouble, String line) implements Step {}
    }

    private final boolean pushed;
    private final double fallbackMs;
    private long numbers;
    private long index = -1;

    /** The call made last. */
    private Call latest;

    /** The one before it, without an answer when that was due; it may still be answered. */
    private Call overdue;

    /** When the next call is due of itself, while there is none. */
    private double nextAt = Double.POSITIVE_INFINITY;

    private boolean lost;
    private List<Step> steps = new ArrayList<>();

    /**
     * @param pushed whether the list is pushed to an agent nearby, which answers at no cost
     * @param fallbackMs where each call costs the list service: after a failure nobody asked about,
     *     when to ask all the same
     */
    EndpointWatchPlan(boolean pushed, double fallbackMs) {
        this.pushed = pushed;
        this.fallbackMs = fallbackMs;
    }

    /** Calls now unless a call is under way. */
    List<Step> ask(double now) {
        if (latest == null) {
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
        dropOverdue();
        if (latest != null) {
            steps.add(new Step.Drop(latest.number));
            latest = null;
        }
    }

    private void dropOverdue() {
        if (overdue != null) {
            steps.add(new Step.Drop(overdue.number));
            overdue = null;
        }
    }

    private void open(double now) {
        nextAt = Double.POSITIVE_INFINITY;
        int waitMs = index < 0 ? 0 : pushed ? PUSHED_WAIT_MS : lost ? LEAST_WAIT_MS : ASKED_WAIT_MS;
        latest =
                new Call(
                        ++numbers,
                        index,
                        waitMs,
                        pushed ? LEFT_OPEN_MS : waitMs + (index < 0 || lost ? 2 : 1) * WAY_MS,
                        now);
        steps.add(new Step.Ask(latest));
    }

    /** A call was answered. */
    List<Step> answered(double now, long number, EndpointListReader news) {
        boolean ofLatest = latest != null && number == latest.number;
        if (!ofLatest && (overdue == null || number != overdue.number)) {
            return List.of();
        }
        if (news.index() < index) {
            // Whatever it is that discovery tells from now on, it isn't a change to the list that
            // is held.
            latest = ofLatest ? null : latest;
            overdue = ofLatest ? overdue : null;
            drop();
            index = -1;
            fail(now, "its index went back");
            return taken();
        }
        boolean newer = news.index() > index || ofLatest && !news.servers().isEmpty();
        index = news.index();
        if (lost) {
            lost = false;
            steps.add(new Step.Note(false, "the list is followed again, at index " + index));
        }
        if (newer) {
            steps.add(new Step.Tell(news));
        }
        if (!ofLatest) {
            overdue = null;
            return taken();
        }
        dropOverdue();
        if (!newer && now - latest.madeAt < PAUSE_MS) {
            latest = null;
            nextAt = now + PAUSE_MS;
        } else {
            open(now);
        }
        return taken();
    }

    /** A call failed, or had no answer in its time. */
    List<Step> failed(double now, long number, String why) {
        if (latest != null && number == latest.number) {
            latest = null;
            fail(now, why);
        } else if (overdue != null && number == overdue.number) {
            overdue = null;
        }
        return taken();
    }

    private void fail(double now, String why) {
        // Within 200 ms the watch goes on as if nothing had been. Only once, and not where a call
        // costs the list service.
        nextAt = now + (!pushed ? fallbackMs : lost ? WAY_MS : PAUSE_MS);
        lose(why);
        steps.add(new Step.TellFailed(why));
    }

    private void lose(String why) {
        if (!lost) {
            lost = true;
            steps.add(
                    new Step.Note(true, "the list can't be followed and is kept as it is: " + why));
        }
    }

    /** The time of {@link #dueAt} has come. */
    List<Step> woken(double now) {
        if (latest == null && now >= nextAt) {
            open(now);
        } else if (pushed && latest != null && now >= latest.dueAt()) {
            dropOverdue();
            overdue = latest;
            if (!lost) {
                lose("a call is without an answer, and another is made beside it");
                steps.add(new Step.TellFailed("no answer"));
            }
            open(now);
        }
        return taken();
    }

    /** When to wake it, however often it is told otherwise; infinite if never. */
    double dueAt() {
        return latest == null ? nextAt : pushed ? latest.dueAt() : Double.POSITIVE_INFINITY;
    }

    private List<Step> taken() {
        List<Step> taken = steps;
        steps = new ArrayList<>();
        return taken;
    }
}
