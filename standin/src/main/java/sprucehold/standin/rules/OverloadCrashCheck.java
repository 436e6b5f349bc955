package sprucehold.standin.rules;

import sprucehold.standin.ledger.Seen;

/**
 * Checks {@link Rule#COLD}: no shard server that is warming up crashes from overload. The check has
 * no tolerance.
 */
final class OverloadCrashCheck implements RuleCheck {
    private final Violations violations;

    OverloadCrashCheck(Violations violations) {
        this.violations = violations;
    }

    @Override
    public void serverCrashed(Seen.FellOver fellOver) {
        String senders =
                fellOver.workByGatherer().isEmpty()
                        ? ""
                        : " by the sum of what each sent, in ms of work: "
                                + fellOver.workByGatherer();
        violations.report(
                Rule.COLD, fellOver.atMs(), fellOver.server() + " was pushed over" + senders);
    }
}
