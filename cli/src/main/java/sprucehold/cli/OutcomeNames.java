package sprucehold.cli;

import java.util.Arrays;
import java.util.Iterator;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;
import sprucehold.tracetools.explanation.QueryStatistics;

/** Converts the stored name of a query outcome, which scripts pass as an option, to the outcome. */
final class OutcomeNames implements ITypeConverter<QueryStatistics.Outcome>, Iterable<String> {
    @Override
    public QueryStatistics.Outcome convert(String name) {
        return Arrays.stream(QueryStatistics.Outcome.values())
                .filter(outcome -> outcome.storedName().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new TypeConversionException(
                                        "expected one of ["
                                                + String.join(", ", this)
                                                + "] (case-sensitive) but was '"
                                                + name
                                                + "'"));
    }

    @Override
    public Iterator<String> iterator() {
        return Arrays.stream(QueryStatistics.Outcome.values())
                .map(QueryStatistics.Outcome::storedName)
                .iterator();
    }
}
