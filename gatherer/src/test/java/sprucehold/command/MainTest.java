package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of commands with invalid arguments and files. */
public class MainTest {
    @DataProvider
    Object[][] invalidCommands() {
        return new Object[][] {
            {new String[] {}, 2},
            {new String[] {"what"}, 2},
            {new String[] {"drill", "more"}, 2},
            {new String[] {"check", "--config"}, 2},
            {new String[] {"check", "--config", "/no/such/file"}, 1},
            {new String[] {"serve", "--config", "EMPTY"}, 1},
            {new String[] {"rehearse", "--config", "EMPTY"}, 1},
        };
    }

    @Test(dataProvider = "invalidCommands")
    public void failedCommandPrintsOneLineAndReturnsExitCode(String[] arguments, int exit)
            throws IOException {
        Path empty = Files.createTempFile("empty", ".json");
        for (int i = 0; i < arguments.length; i++) {
            arguments[i] = arguments[i].equals("EMPTY") ? empty.toString() : arguments[i];
        }
        var errors = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            assertEquals(Main.commandLine().execute(arguments), exit);
        } finally {
            System.setErr(before);
            Files.delete(empty);
        }
        String text = errors.toString(StandardCharsets.UTF_8);
        assertTrue(text.matches("sprucehold: [^\\n]+\\n"), text);
    }
}
