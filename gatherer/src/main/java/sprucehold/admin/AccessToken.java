package sprucehold.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Bearer token that requests must contain (RFC 6750), stored as its SHA-256 digest. */
final class AccessToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] digest;

    AccessToken(String token) {
        this.digest = digest(token);
    }

    /**
     * Returns whether a request contains the token.
     *
     * @param authorization Authorization header of the request, or null if it has none
     */
    boolean permits(String authorization) {
        // All digests have the same length, so the time of the comparison reveals nothing about the
        // token.
        return authorization != null
                && authorization.startsWith(SCHEME)
                && MessageDigest.isEqual(digest, digest(authorization.substring(SCHEME.length())));
    }

    private static byte[] digest(String token) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(token.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
