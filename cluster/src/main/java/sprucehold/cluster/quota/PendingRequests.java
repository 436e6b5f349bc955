package sprucehold.cluster.quota;

import java.util.LinkedHashMap;
import java.util.Map;

/** Requests for leases and for renewals that have not been answered. */
final class PendingRequests {
    /**
     * One request.
     *
     * @param lender gatherer to which the request was sent
     * @param atMostMs upper bound of the time at which the request was sent
     * @param atLeastMs lower bound of the time at which the request was sent
     * @param renews the lease to renew; null in a request for a new lease
     */
    record Request(String lender, double atMostMs, double atLeastMs, Lease renews) {
        boolean isRenewal() {
            return renews != null;
        }
    }

    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private long nextNumber;

    /** Records a request and returns its number. The numbers increase. */
    long add(Request request) {
        long number = nextNumber++;
        requests.put(number, request);
        return number;
    }

    /** Removes requests that were sent more than {@code timeoutMs} ago. */
    void expire(double nowAtLeastMs, double timeoutMs) {
        requests.values().removeIf(request -> nowAtLeastMs - request.atLeastMs > timeoutMs);
    }

    /** Returns the request with that number if it was sent to that lender, otherwise null. */
    Request sentTo(String lender, long number) {
        Request request = requests.get(number);
        return request != null && request.lender.equals(lender) ? request : null;
    }

    void remove(long number) {
        requests.remove(number);
    }

    /** Whether a request for a new lease to that lender is pending. */
    boolean hasLeaseRequestTo(String lender) {
        return requests.values().stream()
                .anyMatch(request -> !request.isRenewal() && request.lender.equals(lender));
    }

    /** Whether a renewal request for that lease is pending. */
    boolean hasRenewalOf(Lease lease) {
        return requests.values().stream().anyMatch(request -> lease.equals(request.renews));
    }
}
