package sprucehold.change.version;

import sprucehold.change.document.ConfigurationDocument;

/**
 * One version of the configuration.
 *
 * @param number rises by one with each accepted version, rollbacks included
 * @param basedOn the number of the version that it was made from
 * @param document the configuration
 * @param author who asked for it; {@code watch} and {@code restart} for rollbacks without a request
 * @param rollsBack the number of the version that it rolls back, 0 for none
 */
public record Version(
        long number, long basedOn, ConfigurationDocument document, String author, long rollsBack) {}
