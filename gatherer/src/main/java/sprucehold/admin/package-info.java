/**
 * HTTP API for operators, disabled unless {@code serve --door} names its settings file. The entry
 * point is {@link sprucehold.admin.AdminServer}; {@link sprucehold.admin.AdminRoutes} defines the
 * paths and {@link sprucehold.admin.AdminJson} the JSON. The package must never decide whether a
 * configuration change is applied, and must never serve a request without the token.
 */
package sprucehold.admin;
