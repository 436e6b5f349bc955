package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.document.RunningState;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

public class DocumentTest {
    private static DocumentReader.ReadResult read(String json) {
        return DocumentReader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void writtenDocumentIsReadUnchanged() {
        ConfigurationDocument document =
                Documents.with(
                        Documents.basic().queryClasses(),
                        Documents.basic().tenants(),
                        150,
                        "s-2",
                        "s-1");
        var read =
                (DocumentReader.ReadResult.Valid)
                        DocumentReader.read(DocumentReader.write(document));
        assertEquals(read.document(), document);
        assertEquals(DocumentReader.write(read.document()), DocumentReader.write(document));
    }

    @DataProvider
    Object[][] malformed() {
        String valid = new String(DocumentReader.write(Documents.basic()), StandardCharsets.UTF_8);
        return new Object[][] {
            {"", "JSON"},
            {"[1]", "no JSON object"},
            {"{\"limits\": ", "line 1"},
            {"{} x", "line 1"},
            {"[".repeat(100_000), "nest"},
            {valid.replaceFirst("\"limits\"", "\"limits\":{},\"limits\""), "Duplicate"},
            {valid.replace("\"maxOpen\" : 200", "\"maxOpen\" : \"many\""), "limits/maxOpen"},
            {valid.replace("\"targetMs\" : 800.0", "\"targetMs\" : -1"), "tableTypes/0/targetMs"},
            {valid.replace("replayable", "whenever"), "tableTypes/0/repeat"},
            {valid.replace("\"logLevel\"", "\"loglevel\""), "loglevel"},
            {" ".repeat(DocumentReader.MAX_BYTES + 1), "bytes"},
        };
    }

    @Test(dataProvider = "malformed")
    public void malformedDocumentIsReportedWithItsPosition(String json, String expected) {
        var read = (DocumentReader.ReadResult.Invalid) read(json);
        assertTrue(
                read.errors().stream().anyMatch(error -> error.toString().contains(expected)),
                read.errors().toString());
        assertTrue(read.errors().stream().allMatch(error -> error.toString().length() < 1000));
    }

    @Test
    public void allSchemaViolationsAreReportedAtOnce() {
        String valid = new String(DocumentReader.write(Documents.basic()), StandardCharsets.UTF_8);
        var read =
                (DocumentReader.ReadResult.Invalid)
                        read(
                                valid.replace("\"maxOpen\" : 200", "\"maxOpen\" : 0")
                                        .replace("\"startShare\" : 0.2", "\"startShare\" : 7"));
        assertEquals(read.errors().size(), 2, read.errors().toString());
    }

    @DataProvider
    Object[][] contradictory() {
        QueryClass.Idempotence idempotent = QueryClass.Idempotence.IDEMPOTENT;
        var minimumAboveComplete =
                new ConfigurationDocument.QueryClassSettings(
                        new QueryClass("offers", idempotent, 800, 1, 0, 0, 0.5, 0.75, 0), 2000);
        var withoutWindow =
                new ConfigurationDocument.QueryClassSettings(
                        new QueryClass(
                                "offers",
                                QueryClass.Idempotence.DEDUPLICATED,
                                800,
                                1,
                                0,
                                0,
                                1,
                                1,
                                0),
                        2000);
        return new Object[][] {
            {
                List.of(Documents.type("offers", idempotent, 2000, 2000)),
                List.of(),
                "/tableTypes/0/targetMs"
            },
            {List.of(minimumAboveComplete), List.of(), "/tableTypes/0/leastShare"},
            {List.of(withoutWindow), List.of(), "/tableTypes/0/keyedWindowMs"},
            {
                List.of(
                        Documents.type("a", idempotent, 1, 2),
                        Documents.type("a", idempotent, 1, 2)),
                List.of(),
                "/tableTypes/1/name"
            },
            {
                List.of(Documents.type("a", idempotent, 1, 2)),
                List.of(new Tenant("c", 1), new Tenant("c", 2)),
                "/customers/1/name"
            },
        };
    }

    @Test(dataProvider = "contradictory")
    public void contradictionIsReportedWithItsPath(
            List<ConfigurationDocument.QueryClassSettings> types,
            List<Tenant> tenants,
            String path) {
        List<ValidationError> errors =
                SemanticValidator.validate(Documents.with(types, tenants, 10));
        assertEquals(errors.stream().map(ValidationError::path).toList(), List.of(path));
    }

    @DataProvider
    Object[][] conflicting() {
        var offersOnly = List.of(Documents.basic().queryClasses().get(0));
        return new Object[][] {
            // document, open queries by class, open items, replicas of shard 3, path of the error
            // or null
            {
                Documents.with(offersOnly, List.of(), 200),
                Map.of("stamps", 2),
                5,
                Set.of("s-1"),
                "/tableTypes"
            },
            {
                Documents.with(offersOnly, List.of(), 200),
                Map.of("stamps", 0),
                5,
                Set.of("s-1"),
                null
            },
            {Documents.variant(-196), Map.of(), 5, Set.of("s-1"), "/limits/maxOpen"},
            {Documents.variant(-195), Map.of(), 5, Set.of("s-1"), null},
            {Documents.variant(0, "s-1", "s-2"), Map.of(), 5, Set.of("s-1", "s-2"), "/serversOut"},
            {Documents.variant(0, "s-1"), Map.of(), 5, Set.of("s-1", "s-2"), null},
            // The shard has no replica before the change either, so this is no error.
            {Documents.variant(0, "s-1"), Map.of(), 5, Set.of(), null},
        };
    }

    @Test(dataProvider = "conflicting")
    public void conflictWithRunningStateIsReportedWithItsPath(
            ConfigurationDocument document,
            Map<String, Integer> openByClass,
            int openItems,
            Set<String> replicas,
            String path) {
        List<ValidationError> errors =
                SemanticValidator.validateAgainst(
                        document,
                        Documents.basic(),
                        new RunningState(openByClass, Map.of(), openItems, Map.of(3, replicas)));
        assertEquals(
                errors.stream().map(ValidationError::path).toList(),
                path == null ? List.of() : List.of(path));
    }

    @DataProvider
    Object[][] differences() {
        var types = Documents.basic().queryClasses();
        var tenants = Documents.basic().tenants();
        var madeIdempotent =
                List.of(
                        types.get(0),
                        Documents.type("stamps", QueryClass.Idempotence.IDEMPOTENT, 800, 2000));
        var halvedObjective =
                List.of(
                        Documents.type("offers", QueryClass.Idempotence.IDEMPOTENT, 400, 2000),
                        types.get(1));
        return new Object[][] {
            {Documents.basic(), DocumentDifference.Risk.NONE, ""},
            {Documents.variant(10), DocumentDifference.Risk.LOW, "rises from 200 to 210"},
            {Documents.variant(-9), DocumentDifference.Risk.LOW, "falls from 200 to 191"},
            {Documents.variant(-40), DocumentDifference.Risk.MIDDLE, "falls from 200 to 160"},
            {Documents.variant(-100), DocumentDifference.Risk.HIGH, "falls from 200 to 100"},
            {
                Documents.with(madeIdempotent, tenants, 200),
                DocumentDifference.Risk.HIGH,
                "what is out stays non-replayable"
            },
            {
                Documents.with(halvedObjective, tenants, 200),
                DocumentDifference.Risk.HIGH,
                "the target time of 'offers' falls"
            },
            {
                Documents.with(types, List.of(tenants.get(0)), 200),
                DocumentDifference.Risk.HIGH,
                "'bolt' has no share"
            },
            {
                Documents.with(types, List.of(new Tenant("acme", 2), tenants.get(1)), 200),
                DocumentDifference.Risk.HIGH,
                "falls from 20 to 2 scans/s"
            },
            {
                Documents.variant(0, "s-1"),
                DocumentDifference.Risk.MIDDLE,
                "nothing new goes to s-1"
            },
            {
                Documents.variant(0, "s-1", "s-2"),
                DocumentDifference.Risk.HIGH,
                "nothing new goes to s-1, s-2"
            },
        };
    }

    @Test(dataProvider = "differences")
    public void differenceIsDescribedAndItsRiskRated(
            ConfigurationDocument after, DocumentDifference.Risk risk, String description) {
        DocumentDifference difference = DocumentDifference.between(Documents.basic(), after);
        assertEquals(difference.risk(), risk);
        assertTrue(
                difference.changes().stream()
                        .map(DocumentDifference.Change::description)
                        .reduce("", (a, b) -> a + b)
                        .contains(description),
                difference.toString());
    }
}
