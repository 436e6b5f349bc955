package sprucehold.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.admin.AdminConfig;
import sprucehold.admin.AdminServer;
import sprucehold.admin.ConfigurationHandler;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.journal.JournalFile;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Query;
import sprucehold.decision.DecisionPolicy;

/**
 * Changes of the facts of a gatherer that serves: the line of versions, its journal on disk, and
 * the admin server through which operators propose, confirm and undo. All of it belongs to the
 * event loop.
 */
final class ConfigurationAdmin {
    private static final Logger LOG = Logger.getLogger(ConfigurationAdmin.class.getName());

    private final Vertx vertx;
    private final Context context;
    private final AdminConfig plan;
    private final Clock clock;
    private final JournalFile journal;
    private final ConfigurationChanges changes;
    private AdminServer server;
    private int port;
    private long slots = -1;

    /**
     * @param journal where versions are written down; null where no folder lasts
     * @param apply puts facts in force between two moments of the decisions
     */
    ConfigurationAdmin(
            Vertx vertx,
            NodeConfig config,
            AdminConfig plan,
            JournalFile journal,
            Clock clock,
            ConfigurationChanges.Apply apply) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.plan = plan;
        this.journal = journal;
        this.clock = clock;
        this.changes =
                new ConfigurationChanges(
                        document(config),
                        config.settings().deployment(),
                        journal == null ? ConfigurationChanges.Journal.NONE : this::write,
                        plan.watchMs(),
                        plan.leastScans(),
                        apply);
    }

    /**
     * Opens the journal that a plan names, or returns null where it names none.
     *
     * @throws IOException if it can't be opened
     */
    static JournalFile journalOf(AdminConfig plan) throws IOException {
        JournalFile journal = plan.journal() == null ? null : JournalFile.open(plan.journal());
        if (journal != null && journal.cutOff() != null) {
            LOG.warning(journal.cutOff());
        }
        return journal;
    }

    /** The facts that the start brought. */
    private static ConfigurationDocument document(NodeConfig config) {
        var deployment = config.settings().deployment();
        var types = new ArrayList<ConfigurationDocument.Type>();
        for (int i = 0; i < deployment.queryClasses().size(); i++) {
            types.add(
                    new ConfigurationDocument.Type(
                            deployment.queryClasses().get(i),
                            config.settings().deadlinesMs().get(i)));
        }
        return new ConfigurationDocument(
                types,
                deployment.tenants(),
                deployment.limits(),
                deployment.retryBudget(),
                deployment.slowStart(),
                new TreeSet<>(),
                "",
                "",
                "INFO");
    }

    private void write(JournalEntry entry) {
        try {
            // The only wait on the event loop: a change is rare, and must be on the disk before it
            // is in force.
            journal.write(entry);
        } catch (IOException e) {
            LOG.warning(
                    "the journal of versions can't be written, and a restart will not know of this: "
                            + e);
        }
    }

    /** The decisions behind the operator's word on shard servers. */
    DecisionPolicy.Factory behindWords(DecisionPolicy.Factory factory) {
        return changes.behindWords(factory);
    }

    boolean isTableType(String name) {
        return changes.isTableType(name);
    }

    void taken(Query query) {
        changes.taken(clock.now(), query);
    }

    void left(Query query) {
        changes.left(clock.now(), query);
    }

    void answered(Query query, Answer answer) {
        changes.answered(clock.now(), query, answer);
    }

    /**
     * Takes up what the journal holds and opens the admin server; returns its port.
     *
     * @param views what operators may see beside the facts, by name
     * @param held how many queries and parts are open
     */
    Future<Integer> open(Map<String, Supplier<JsonNode>> views, IntSupplier held) {
        changes.started(clock.now(), journal == null ? List.of() : journal.entries());
        slots =
                vertx.setPeriodic(
                        ConfigurationChanges.SLOT_MS, id -> changes.slotEnds(clock.now()));
        server =
                new AdminServer(
                        vertx,
                        plan.token(),
                        views,
                        new ConfigurationHandler() {
                            @Override
                            public VersionHistory line() {
                                return changes.line();
                            }

                            @Override
                            public List<VersionCommand> propose(
                                    String id,
                                    String by,
                                    long madeFrom,
                                    ConfigurationDocument document) {
                                List<VersionCommand> answer =
                                        changes.propose(
                                                clock.now(),
                                                id,
                                                by,
                                                madeFrom,
                                                document,
                                                held.getAsInt());
                                // It is called between two moments of the decisions.
                                context.runOnContext(none -> changes.moment(clock.now()));
                                return answer;
                            }

                            @Override
                            public void confirm(long version, String by) {
                                changes.confirm(clock.now(), version, by);
                            }

                            @Override
                            public void undo(long version, String by) {
                                changes.undo(clock.now(), version, by);
                            }
                        });
        return server.listen(plan.host(), plan.port()).onSuccess(listening -> port = listening);
    }

    /** The port of the admin server, 0 while it isn't open. */
    int port() {
        return port;
    }

    /** The gatherer has been told to end. */
    void ending() {
        vertx.cancelTimer(slots);
        changes.ending(clock.now());
    }

    Future<Void> close() {
        if (server == null) {
            return Future.succeededFuture();
        }
        return server.close()
                .eventually(
                        () -> {
                            try {
                                if (journal != null) {
                                    journal.close();
                                }
                            } catch (IOException e) {
                                LOG.log(Level.FINE, "the journal of versions", e);
                            }
                            return Future.succeededFuture();
                        });
    }
}
