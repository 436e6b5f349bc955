package sprucehold.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The token that requests have to bear (RFC 6750), held as its SHA-256 digest. */
final class AccessToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] digest;

    AccessToken(String token) {
        this.digest = digest(token);
    }

    /**
     * Whether a request may be answered.
     *
     * @param authorization the request's Authorization header, or null if it has none
     */
    boolean permits(String authorization) {
        // Digests are of one length, so the time of the comparison tells nothing of the token.
        return authorization != null
                && authorization.startsWith(SCHEME)
                && MessageDigest.isEqual(digest, digest(authorization.substring(SCHEME.length())));
    }

    private static byte[] digest(String token) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(token.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
