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
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;

/**
 * I/O of configuration changes: the journal on disk, the timer of the health watch, and the admin
 * server through which operators propose, confirm and roll back versions. Used on the event loop
 * only.
 */
final class ConfigurationAdmin {
    private static final Logger LOG = Logger.getLogger(ConfigurationAdmin.class.getName());

    private final Vertx vertx;
    private final Context context;
    private final AdminConfig settings;
    private final Clock clock;
    private final JournalFile journal;
    private final ConfigurationChanges changes;
    private AdminServer server;
    private int port;
    private long windowTimer = -1;

    /**
     * @param config the configuration that the process was started with
     * @param journal stores versions across restarts; null if they aren't stored
     * @param apply puts a version into effect between two decisions
     */
    ConfigurationAdmin(
            Vertx vertx,
            NodeConfig config,
            AdminConfig settings,
            JournalFile journal,
            Clock clock,
            ConfigurationChanges.DeploymentApplier apply) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.settings = settings;
        this.journal = journal;
        this.clock = clock;
        this.changes =
                new ConfigurationChanges(
                        documentOf(config),
                        config.settings().deployment(),
                        journal == null ? ConfigurationChanges.Journal.NONE : this::write,
                        settings.watchDurationMs(),
                        settings.minimumQueries(),
                        apply);
    }

    /**
     * Opens the journal that is configured in the settings; returns null if none is.
     *
     * @throws IOException if it can't be opened
     */
    static JournalFile journalOf(AdminConfig settings) throws IOException {
        if (settings.journal() == null) {
            return null;
        }
        JournalFile journal = JournalFile.open(settings.journal());
        if (journal.truncationWarning() != null) {
            LOG.warning(journal.truncationWarning());
        }
        return journal;
    }

    /** Returns the configuration that the process was started with as a document. */
    private static ConfigurationDocument documentOf(NodeConfig config) {
        Deployment deployment = config.settings().deployment();
        List<QueryClass> queryClasses = deployment.queryClasses();
        List<Double> deadlinesMs = config.settings().deadlinesMs();
        var settings = new ArrayList<ConfigurationDocument.QueryClassSettings>();
        for (int i = 0; i < queryClasses.size(); i++) {
            settings.add(
                    new ConfigurationDocument.QueryClassSettings(
                            queryClasses.get(i), deadlinesMs.get(i)));
        }
        return new ConfigurationDocument(
                settings,
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
            // This is the only place where the event loop blocks on the disk: changes are rare, and
            // a change must be on the disk before it takes effect.
            journal.append(entry);
        } catch (IOException e) {
            LOG.warning(
                    "cannot write to the journal of versions; this change will be lost on a restart: "
                            + e);
        }
    }

    /** Returns a factory of policies whose endpoint updates include the operators' overrides. */
    DecisionPolicy.Factory withOverrides(DecisionPolicy.Factory factory) {
        return changes.withOverrides(factory);
    }

    boolean isQueryClass(String name) {
        return changes.isQueryClass(name);
    }

    void queryReceived(Query query) {
        changes.queryReceived(clock.now(), query);
    }

    void clientDisconnected(Query query) {
        changes.clientDisconnected(clock.now(), query);
    }

    void queryAnswered(Query query, Answer answer) {
        changes.queryAnswered(clock.now(), query, answer);
    }

    /**
     * Restores the version history from the journal and opens the admin server; returns its port.
     *
     * @param views status views of the rest of the node for operators, by name
     * @param openItems the number of queries and parts that are open
     */
    Future<Integer> open(Map<String, Supplier<JsonNode>> views, IntSupplier openItems) {
        changes.started(clock.now(), journal == null ? List.of() : journal.entries());
        windowTimer =
                vertx.setPeriodic(
                        ConfigurationChanges.WINDOW_MS, id -> changes.windowEnded(clock.now()));
        server = new AdminServer(vertx, settings.token(), views, new Handler(openItems));
        return server.listen(settings.host(), settings.port())
                .onSuccess(listening -> port = listening);
    }

    /** Passes operators' requests on to the version history, with the current time. */
    private final class Handler implements ConfigurationHandler {
        private final IntSupplier openItems;

        Handler(IntSupplier openItems) {
            this.openItems = openItems;
        }

        @Override
        public VersionHistory history() {
            return changes.history();
        }

        @Override
        public List<VersionCommand> propose(
                String id, String author, long basedOn, ConfigurationDocument document) {
            List<VersionCommand> commands =
                    changes.propose(
                            clock.now(), id, author, basedOn, document, openItems.getAsInt());
            // A separate task of the event loop never runs during a decision.
            context.runOnContext(none -> changes.betweenDecisions(clock.now()));
            return commands;
        }

        @Override
        public void confirm(long version, String author) {
            changes.confirm(clock.now(), version, author);
        }

        @Override
        public void rollBack(long version, String author) {
            changes.rollBack(clock.now(), version, author);
        }
    }

    /** Returns the port of the admin server; 0 while it isn't open. */
    int port() {
        return port;
    }

    /** Stops the time windows and records that the process is shutting down. */
    void shuttingDown() {
        vertx.cancelTimer(windowTimer);
        changes.shuttingDown(clock.now());
    }

    Future<Void> close() {
        if (server == null) {
            return Future.succeededFuture();
        }
        return server.close()
                .eventually(
                        () -> {
                            closeJournal();
                            return Future.succeededFuture();
                        });
    }

    private void closeJournal() {
        if (journal == null) {
            return;
        }
        try {
            journal.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "cannot close the journal of versions", e);
        }
    }
}
