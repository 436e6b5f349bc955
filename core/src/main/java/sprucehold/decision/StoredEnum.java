package sprucehold.decision;

import java.util.Arrays;
import java.util.Optional;

/**
 * Enum whose constants are stored outside the program: by number in files, by name in JSON,
 * settings and logs. Both forms are declared with each constant, so a constant can be renamed or
 * moved without changing the stored form.
 */
public interface StoredEnum {
    /** Returns the number stored in files. Numbers of removed constants are never reused. */
    int storedNumber();

    /** Returns the name used in JSON, settings and logs, in upper case with underscores. */
    String storedName();

    /** Returns the constant with this stored name, or empty if this version has none. */
    static <E extends Enum<E> & StoredEnum> Optional<E> fromStoredName(Class<E> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.storedName().equals(name))
                .findFirst();
    }
}
