package sprucehold.trace.format;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sprucehold.decision.StoredEnum;

/** The constants of an enum by the numbers that files hold. */
final class StoredNumbers<E extends StoredEnum> {
    private final Map<Integer, E> byNumber = new HashMap<>();

    StoredNumbers(E[] constants) {
        for (E constant : constants) {
            byNumber.put(constant.storedNumber(), constant);
        }
    }

    /** The constant, unless a later version of the format has added it. */
    Optional<E> known(int number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    /**
     * The constant.
     *
     * @throws IndexOutOfBoundsException if there is none with this number
     */
    E required(int number) {
        E constant = byNumber.get(number);
        if (constant == null) {
            throw new IndexOutOfBoundsException(number);
        }
        return constant;
    }
}
