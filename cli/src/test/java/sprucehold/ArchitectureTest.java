package sprucehold;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ArchitectureTest {
    private static final JavaClasses ALL =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("sprucehold");

    private static final String[] CORE = {
        "sprucehold.decision..",
        "sprucehold.storage..",
        "sprucehold.deployment..",
        "sprucehold.coordinator..",
        "sprucehold.policy.."
    };
    private static final String[] TRACE = {"sprucehold.trace.."};
    private static final String[] TOOLS = {"sprucehold.tracetools.."};
    private static final String[] CHANGE = {"sprucehold.change.."};
    private static final String[] TOGETHER = {"sprucehold.cluster.."};
    private static final String[] STANDIN = {"sprucehold.standin.."};
    private static final String[] GATHERER = {
        "sprucehold.node..",
        "sprucehold.clients..",
        "sprucehold.shards..",
        "sprucehold.discovery..",
        "sprucehold.simulation..",
        "sprucehold.admin..",
        "sprucehold.command..",
        "sprucehold.messaging..",
        "sprucehold.clustering..",
        "sprucehold.settings..",
        "sprucehold.sockets.."
    };
    private static final String[] RIG = {"sprucehold.rig.."};
    private static final String[] CLI = {"sprucehold.cli.."};

    private static String[] join(String[]... groups) {
        return java.util.Arrays.stream(groups)
                .flatMap(java.util.Arrays::stream)
                .toArray(String[]::new);
    }

    @DataProvider
    Object[][] rules() {
        return new Object[][] {
            {
                "no circle of packages",
                slices().matching("sprucehold.(**)").should().beFreeOfCycles()
            },
            {
                "core is below all",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                join(TRACE, TOOLS, CHANGE, TOGETHER, STANDIN, GATHERER, RIG, CLI))
            },
            {
                "stand-ins are above core alone",
                noClasses()
                        .that()
                        .resideInAnyPackage(STANDIN)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TRACE, TOOLS, CHANGE, GATHERER, RIG, CLI))
            },
            {
                "trace is above core alone",
                noClasses()
                        .that()
                        .resideInAnyPackage(TRACE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TOOLS, CHANGE, STANDIN, GATHERER, RIG, CLI))
            },
            {
                "the gatherer is below the command line and knows no tool",
                noClasses()
                        .that()
                        .resideInAnyPackage(GATHERER)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TOOLS, RIG, CLI))
            },
            {
                "changes are above core alone",
                noClasses()
                        .that()
                        .resideInAnyPackage(CHANGE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TRACE, TOOLS, STANDIN, GATHERER, RIG, CLI))
            },
            {
                "what gatherers know together is above core alone, and decided without sockets, files, clocks or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(TOGETHER)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                join(
                                        TRACE,
                                        TOOLS,
                                        CHANGE,
                                        STANDIN,
                                        GATHERER,
                                        RIG,
                                        CLI,
                                        new String[] {
                                            "java.net..",
                                            "java.nio.file..",
                                            "java.nio.channels..",
                                            "java.util.concurrent..",
                                            "java.time..",
                                            "io.vertx.."
                                        }))
                        .orShould()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis")
            },
            {
                "the node knows no neighbour by name",
                noClasses()
                        .that()
                        .resideInAnyPackage(
                                "sprucehold.node..",
                                "sprucehold.clients..",
                                "sprucehold.shards..",
                                "sprucehold.discovery..",
                                "sprucehold.admin..",
                                "sprucehold.simulation..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "sprucehold.clustering..",
                                "sprucehold.messaging..",
                                "sprucehold.cluster..")
            },
            {
                "nothing that serves loads a fleet in simulated time",
                noClasses()
                        .that()
                        .resideOutsideOfPackages("sprucehold.cluster.simulation..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("sprucehold.cluster.simulation..")
            },
            {
                "changes are decided without files, clocks or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(
                                "sprucehold.change.document..",
                                "sprucehold.change.version..",
                                "sprucehold.change.watch..",
                                "sprucehold.change.override..",
                                "sprucehold.change.rollout..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "java.nio.file..",
                                "java.nio.channels..",
                                "java.util.concurrent..",
                                "java.time..")
                        .orShould()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis")
            },
            {
                "tools are above the trace alone",
                noClasses()
                        .that()
                        .resideInAnyPackage(TOOLS)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(STANDIN, GATHERER, RIG, CLI))
            },
            {
                "the rig knows gatherers by their processes alone",
                noClasses()
                        .that()
                        .resideInAnyPackage(RIG)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TRACE, TOOLS, CHANGE, GATHERER, CLI))
            },
            {
                "runs are drawn, faults decided and verdicts reached without sockets, clocks or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(
                                "sprucehold.rig.plan..",
                                "sprucehold.rig.fault..",
                                "sprucehold.rig.shrink..")
                        .or()
                        .haveNameMatching(
                                "sprucehold\\.rig\\.(link\\.Shaper|server\\.ServerModel|list\\.(Agent|ServerList)|"
                                        + "load\\.(Front|Persistence)|verdict\\.(Judge|Figures|Spread))")
                        .and()
                        .doNotHaveSimpleName("Addresses")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "java.net..",
                                "java.nio.file..",
                                "java.util.concurrent..",
                                "io.vertx..")
                        .orShould()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis")
            },
            {
                "nothing imports the root package",
                noClasses().should().dependOnClassesThat().resideInAPackage("sprucehold")
            },
            {
                "the decisions are handed over, not named",
                noClasses()
                        .that()
                        .resideOutsideOfPackages(
                                "sprucehold.policy..", "sprucehold.command..", "sprucehold.cli..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("sprucehold.policy..")
            },
            {
                "core has no sockets, files or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "java.net..",
                                "java.nio.file..",
                                "java.nio.channels..",
                                "java.util.concurrent..",
                                "java.util.zip..",
                                "io.vertx..",
                                "io.netty..")
            },
            {
                "core has no files by the older way",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .dependOnClassesThat()
                        .haveNameMatching(
                                "java\\.io\\.(File|FileReader|FileWriter|File.*Stream|"
                                        + "RandomAccessFile)")
            },
            {
                "core has no threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .dependOnClassesThat()
                        .haveNameMatching(
                                "java\\.lang\\.(Thread|Runtime|ProcessBuilder)|java\\.util\\.Timer")
            },
            {
                "core reads no clock",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .callMethod(System.class, "currentTimeMillis")
                        .orShould()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .dependOnClassesThat()
                        .resideInAPackage("java.time..")
            },
            {
                "core has no chance without a seed",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .callConstructor(java.util.Random.class)
                        .orShould()
                        .callMethod(Math.class, "random")
            },
            {
                "pure parts of the trace have no files or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(
                                "sprucehold.trace.event..",
                                "sprucehold.trace.correlation..",
                                "sprucehold.tracetools.clock..",
                                "sprucehold.tracetools.explanation..")
                        .or()
                        .haveNameMatching(
                                "sprucehold\\.trace\\.record\\.(QuerySampler|RotationPolicy)")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "java.nio.file..", "java.nio.channels..", "java.util.concurrent..")
            },
        };
    }

    @Test(dataProvider = "rules")
    public void holds(String what, ArchRule rule) {
        rule.as(what).check(ALL);
    }

    @Test
    public void theRulesLookAtSomething() {
        Assert.assertTrue(
                ALL.contain("sprucehold.policy.QueryScheduler")
                        && ALL.contain("sprucehold.cli.Sprucehold"));
    }
}
