/**
 * Reads the settings of a deployment into its facts; the entry point is {@link
 * sprucehold.deployment.Facts}. It must never hold a tuned value: an absent field is zero or empty.
 */
package sprucehold.deployment;
