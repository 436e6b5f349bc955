package sprucehold.trace.format;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sprucehold.decision.StoredEnum;

/** Maps the numbers stored in trace files to the constants of an enum. */
final class StoredNumbers<E extends StoredEnum> {
    private final Map<Integer, E> byNumber = new HashMap<>();

    StoredNumbers(E[] constants) {
        for (E constant : constants) {
            byNumber.put(constant.storedNumber(), constant);
        }
    }

    /** Returns the constant of a number; empty if a later version of the format added it. */
    Optional<E> known(int number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    /**
     * Returns the constant of a number.
     *
     * @throws IndexOutOfBoundsException if no constant has this number
     */
    E required(int number) {
        E constant = byNumber.get(number);
        if (constant == null) {
            throw new IndexOutOfBoundsException(number);
        }
        return constant;
    }
}
