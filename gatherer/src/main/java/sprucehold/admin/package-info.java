/**
 * HTTP for operators, off unless {@code serve --door} names its settings. {@link
 * sprucehold.admin.AdminServer} is the entry point, {@link sprucehold.admin.AdminRoutes} has the
 * paths and {@link sprucehold.admin.AdminJson} the JSON. It must never decide what becomes of a
 * change, and never answer a request without the token.
 */
package sprucehold.admin;
