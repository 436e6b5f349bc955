/**
 * Settings files of optional features, in JSON with a schema. The entry point is {@link
 * sprucehold.settings.SettingsFile}. The package must never depend on the meaning of a setting.
 */
package sprucehold.settings;
