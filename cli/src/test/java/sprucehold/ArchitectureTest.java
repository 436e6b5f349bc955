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
    private static final JavaClasses ALL_CLASSES =
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
    private static final String[] CLUSTER = {"sprucehold.cluster.."};
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
                "packages have no cycles",
                slices().matching("sprucehold.(**)").should().beFreeOfCycles()
            },
            {
                "core depends on no other module",
                noClasses()
                        .that()
                        .resideInAnyPackage(CORE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                join(TRACE, TOOLS, CHANGE, CLUSTER, STANDIN, GATHERER, RIG, CLI))
            },
            {
                "stand-ins depend on core only",
                noClasses()
                        .that()
                        .resideInAnyPackage(STANDIN)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TRACE, TOOLS, CHANGE, GATHERER, RIG, CLI))
            },
            {
                "trace depends on core only",
                noClasses()
                        .that()
                        .resideInAnyPackage(TRACE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TOOLS, CHANGE, STANDIN, GATHERER, RIG, CLI))
            },
            {
                "the gatherer depends on neither the command line nor the tools",
                noClasses()
                        .that()
                        .resideInAnyPackage(GATHERER)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TOOLS, RIG, CLI))
            },
            {
                "change depends on core only",
                noClasses()
                        .that()
                        .resideInAnyPackage(CHANGE)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TRACE, TOOLS, STANDIN, GATHERER, RIG, CLI))
            },
            {
                "cluster depends on core only and uses no sockets, files, clocks or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(CLUSTER)
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
                "the node depends on no clustering, messaging or cluster class",
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
                "no class outside the cluster simulation depends on it",
                noClasses()
                        .that()
                        .resideOutsideOfPackages("sprucehold.cluster.simulation..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("sprucehold.cluster.simulation..")
            },
            {
                "decisions about changes use no files, clocks or threads",
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
                "trace tools depend on no stand-in, gatherer, rig or command line",
                noClasses()
                        .that()
                        .resideInAnyPackage(TOOLS)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(STANDIN, GATHERER, RIG, CLI))
            },
            {
                "the rig uses gatherers as processes only",
                noClasses()
                        .that()
                        .resideInAnyPackage(RIG)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(join(TRACE, TOOLS, CHANGE, GATHERER, CLI))
            },
            {
                "plans, faults and verdicts of the rig use no sockets, files, clocks or threads",
                noClasses()
                        .that()
                        .resideInAnyPackage(
                                "sprucehold.rig.plan..",
                                "sprucehold.rig.fault..",
                                "sprucehold.rig.shrink..")
                        .or()
                        .haveNameMatching(
                                "sprucehold\\.rig\\.(link\\.Shaper|server\\.ServerModel|list\\.(Agent|ServerList)|"
                                        + "load\\.(SiteBalancer|RetryBehaviour)|"
                                        + "verdict\\.(VerdictBuilder|Figures|Spread))")
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
                "no class depends on the root package",
                noClasses().should().dependOnClassesThat().resideInAPackage("sprucehold")
            },
            {
                "only the policy and the commands depend on policy classes",
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
                "core uses no files through java.io",
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
                "core has no randomness without a seed",
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
    public void classesFollowRule(String description, ArchRule rule) {
        rule.as(description).check(ALL_CLASSES);
    }

    @Test
    public void importedClassesIncludeCoreAndCommandLine() {
        Assert.assertTrue(
                ALL_CLASSES.contain("sprucehold.policy.QueryScheduler")
                        && ALL_CLASSES.contain("sprucehold.cli.Sprucehold"));
    }
}
