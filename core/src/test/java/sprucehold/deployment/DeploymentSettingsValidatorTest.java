package sprucehold.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the validation of settings with missing, invalid or contradictory fields. */
public class DeploymentSettingsValidatorTest {
    private static final String VALID_SETTINGS =
            "{'classes':[{'name':'q','semantics':'retryable','aimMs':100,'giveUpMs':300},"
                    + "{'name':'k','semantics':'dedup','aimMs':100,'giveUpMs':300,'windowMs':700,'worth':2}],"
                    + "'tenants':[{'name':'one','allowancePerS':9.5}],"
                    + "'familyInfo':{'ranges':4,'sets':2,'completeFrom':[0.75,1.0],'leastShare':[0.5,1]},"
                    + "'limits':{'dialTimeoutMs':250.0,'idleCloseMs':15000.0,'streamsPerConn':32,'maxOpen':9},"
                    + "'safety':{'coldFrom':0.2,'coldMs':9000.0},'quantumMs':5.0,'balancers':3}";

    private static JsonNode settings(String from, String to) throws Exception {
        if (!VALID_SETTINGS.contains(from)) {
            throw new IllegalArgumentException(from);
        }
        return new ObjectMapper()
                .readTree(
                        VALID_SETTINGS
                                .replaceFirst(
                                        java.util.regex.Pattern.quote(from),
                                        java.util.regex.Matcher.quoteReplacement(to))
                                .replace('\'', '"'));
    }

    @DataProvider
    Object[][] invalidSettings() {
        return new Object[][] {
            // Replaced text, replacement, path in the message, expected value in the message.
            {"'classes'", "'other'", "classes is missing", "a list with at least one query class"},
            {"'name':'q'", "'name':''", "classes[0].name is \"\"", "a non-empty string"},
            {
                "'name':'k'",
                "'name':'q'",
                "classes[1].name is \"q\"",
                "a name that no earlier entry has"
            },
            {
                "'semantics':'retryable'",
                "'semantics':'odd'",
                "classes[0].semantics is \"odd\"",
                "retryable, dedup or fragile"
            },
            {"'aimMs':100", "'aimMs':0", "classes[0].aimMs is 0", "a number above 0"},
            {",'giveUpMs':300", "", "classes[0].giveUpMs is missing", "a number above 0"},
            {
                "'giveUpMs':300",
                "'giveUpMs':'300'",
                "classes[0].giveUpMs is \"300\"",
                "a number above 0"
            },
            {",'windowMs':700", "", "classes[1].windowMs is missing", "a number of at least 0"},
            {"'worth':2", "'worth':-2", "classes[1].worth is -2", "a number of at least 0"},
            {"'tenants':[", "'tenants':3,'others':[", "tenants is 3", "a list"},
            {
                "'allowancePerS':9.5",
                "'rate':9",
                "tenants[0].allowancePerS is missing",
                "a number of at least 0"
            },
            {"'ranges':4", "'ranges':0", "familyInfo.ranges is 0", "a whole number of at least 1"},
            {"'sets':2,", "", "familyInfo.sets is missing", "a whole number of at least 1"},
            {
                "[0.75,1.0]",
                "[0.75]",
                "familyInfo.completeFrom is [0.75]",
                "a list with one share for each of the 2 query classes"
            },
            {"[0.5,1]", "[0.5,1.5]", "familyInfo.leastShare[1] is 1.5", "a share from 0 to 1"},
            {
                "'dialTimeoutMs':250.0",
                "'dialTimeoutMs':0",
                "limits.dialTimeoutMs is 0",
                "a number above 0"
            },
            {"'idleCloseMs':15000.0,", "", "limits.idleCloseMs is missing", "a number above 0"},
            {
                "'streamsPerConn':32",
                "'streamsPerConn':0",
                "limits.streamsPerConn is 0",
                "a whole number of at least 1"
            },
            {"'coldMs':9000.0", "'coldMs':true", "safety.coldMs is true", "a number of at least 0"},
            {
                "'balancers':3",
                "'balancers':2.5",
                "balancers is 2.5",
                "a whole number of at least 1"
            },
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void invalidFieldThrowsExceptionThatNamesIt(
            String from, String to, String path, String expected) throws Exception {
        JsonNode settings = settings(from, to);
        String message =
                expectThrows(
                                InvalidSettingsException.class,
                                () -> DeploymentSettings.readValidated(settings))
                        .getMessage();
        assertEquals(message, "settings." + path + ", expected " + expected);
    }

    @DataProvider
    Object[][] validSettings() {
        return new Object[][] {
            {"'q'", "'q'"},
            {"'tenants'", "'others'"},
            {",'streamsPerConn':32,'maxOpen':9", ""},
            {",'completeFrom':[0.75,1.0],'leastShare':[0.5,1]", ""},
            {"'safety'", "'others'"},
            {"'quantumMs':5.0,", ""}
        };
    }

    @Test(dataProvider = "validSettings")
    public void fieldWithDefaultMayBeAbsent(String from, String to) throws Exception {
        assertEquals(
                DeploymentSettings.readValidated(settings(from, to))
                        .deployment()
                        .queryClasses()
                        .size(),
                2);
    }
}
