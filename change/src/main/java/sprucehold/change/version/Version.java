package sprucehold.change.version;

import sprucehold.change.document.ConfigurationDocument;

/**
 * One version.
 *
 * @param number rises by one with each version accepted, undoings among them
 * @param madeFrom the number of the version it was made from
 * @param by who asked for it
 * @param undoes the version that it takes back, 0 for none
 */
public record Version(
        long number, long madeFrom, ConfigurationDocument document, String by, long undoes) {}
