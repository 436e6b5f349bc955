/**
 * Units of a shared limit, lent among gatherers without a coordinator. The entry points are {@link
 * sprucehold.cluster.quota.QuotaLedger}, which enforces the limit whatever happens to messages and
 * processes, and {@link sprucehold.cluster.quota.LeaseExchange}, which moves units to the gatherers
 * that need them. The package is pure: no sockets, files, threads or clocks. A message must never
 * raise a limit.
 */
package sprucehold.cluster.quota;
