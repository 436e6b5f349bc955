package sprucehold.decision;

import java.util.Arrays;
import java.util.Optional;

/**
 * An enum whose constants are kept outside of the program: in files by number, in JSON, settings
 * and logs by name. Both forms stand beside each constant, so that a constant can be renamed or
 * moved without a change of what is stored.
 */
public interface StoredEnum {
    /** The number that files hold. Numbers are never given again. */
    int storedNumber();

    /** The name that JSON, settings and logs hold, in capitals with underscores. */
    String storedName();

    /** The constant with this name, if this build knows one. */
    static <E extends Enum<E> & StoredEnum> Optional<E> ofName(Class<E> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.storedName().equals(name))
                .findFirst();
    }
}
