package sprucehold.cluster.evidence;

/**
 * Assessment of a server by the observations of other gatherers.
 *
 * @param failureScore from 0 (no sign of failure) to 1 (all credible observers saw only failures)
 * @param observers number of independent observers on which the score is based
 * @param sites number of sites of these observers
 */
public record FailureAssessment(double failureScore, int observers, int sites) {
    /** Assessment without any observations. */
    public static final FailureAssessment NONE = new FailureAssessment(0, 0, 0);
}
