/**
 * Which scan an event or action belongs to, told as entries go by: {@link
 * sprucehold.trace.correlation.ScanBook}. It holds only scans that are open or have a dispatch out,
 * and must never hold more than its bound.
 */
package sprucehold.trace.correlation;
