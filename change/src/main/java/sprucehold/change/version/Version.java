package sprucehold.change.version;

import sprucehold.change.document.ConfigurationDocument;

/**
 * A version of the configuration.
 *
 * @param number number of the version; increases by one with each accepted version, rollbacks
 *     included
 * @param basedOn number of the version that it was made from; 0 for the first version
 * @param document the configuration
 * @param author the operator who requested the version; {@code start} for the first version, {@code
 *     watch} or {@code restart} for rollbacks without a request
 * @param rollsBack number of the version that it rolls back, 0 for none
 */
public record Version(
        long number, long basedOn, ConfigurationDocument document, String author, long rollsBack) {}
