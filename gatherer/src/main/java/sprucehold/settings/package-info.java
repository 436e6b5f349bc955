/**
 * Settings files of optional features, as JSON with a schema. The entry point is {@link
 * sprucehold.settings.SettingsFile}. It must never know what a setting is for.
 */
package sprucehold.settings;
