/**
 * Reads and validates the settings of a deployment. The entry point is {@link
 * sprucehold.deployment.DeploymentSettings}, the only place that maps the keys of the settings to
 * the terms of the code. The package must never contain a tuned value: an absent field is zero,
 * empty or without effect.
 */
package sprucehold.deployment;
