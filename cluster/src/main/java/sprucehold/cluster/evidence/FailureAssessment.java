package sprucehold.cluster.evidence;

/**
 * What others' observations of a server come to.
 *
 * @param failureScore from 0, nothing speaks against it, to 1, all who may be believed saw only
 *     failures
 * @param observers how many independent ones it rests on
 * @param sites how many sites they stand in
 */
public record FailureAssessment(double failureScore, int observers, int sites) {
    /** Nothing is known. */
    public static final FailureAssessment NONE = new FailureAssessment(0, 0, 0);
}
