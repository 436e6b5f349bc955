package sprucehold.change;

import java.util.List;
import java.util.TreeSet;
import sprucehold.change.document.Document;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.TableType;

/** Documents to vary. */
final class Documents {
    private Documents() {}

    static Document.Type type(String name, TableType.Repeat repeat, double target, double timeout) {
        return new Document.Type(
                new TableType(
                        name,
                        repeat,
                        target,
                        1,
                        0.1,
                        repeat == TableType.Repeat.KEYED ? 3000 : 0,
                        1,
                        0.5,
                        0),
                timeout);
    }

    static Document usual() {
        return with(
                List.of(
                        type("offers", TableType.Repeat.REPLAYABLE, 800, 2000),
                        type("stamps", TableType.Repeat.NON_REPLAYABLE, 800, 2000)),
                List.of(new Customer("acme", 20), new Customer("bolt", 5)),
                200);
    }

    static Document with(
            List<Document.Type> types, List<Customer> customers, int maxOpen, String... out) {
        return new Document(
                types,
                customers,
                new Deployment.Limits(4, maxOpen, true, true, 1000),
                new Deployment.DispatchBudget(10, 0.2, 10_000),
                new Deployment.ColdRule(0.2, 15_000, 4, 1000),
                new TreeSet<>(List.of(out)),
                "",
                "",
                "INFO");
    }

    /** Told apart by how much may be open. */
    static Document number(int n, String... out) {
        return with(usual().types(), usual().customers(), 200 + n, out);
    }
}
