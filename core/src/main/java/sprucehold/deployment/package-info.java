/**
 * Reads the settings of a deployment and checks them; the entry point is {@link
 * sprucehold.deployment.DeploymentSettings}, the one place that knows the settings' keys by our
 * terms. It must never hold a tuned value: an absent field is zero, empty or without effect.
 */
package sprucehold.deployment;
