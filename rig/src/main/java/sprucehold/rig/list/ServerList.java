package sprucehold.rig.list;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of shard servers, as a sequence of changes numbered by an index from 1 on. */
public final class ServerList {
    /** State of a server in the list: only an active server may be sent to. */
    public enum Status {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /**
     * The list's entry for one server.
     *
     * @param cell replica group of the server
     * @param sinceMs when the server last started, in milliseconds by the run's clock; 0 if it
     *     started long before the run
     * @param life how often the server has come back, each time at another address
     */
    public record Entry(
            String name, String site, int cell, Status status, double sinceMs, int life) {}

    /**
     * One change of the list.
     *
     * @param index the change's number; the entries at the start of the run all have index 1
     * @param atMs when the entry changed, in milliseconds by the run's clock
     * @param entry the entry after the change
     */
    public record Change(long index, double atMs, Entry entry) {}

    private final List<Change> changes = new ArrayList<>();

    public ServerList(List<Entry> first) {
        first.forEach(entry -> changes.add(new Change(1, 0, entry)));
    }

    public void change(double nowMs, Entry entry) {
        changes.add(new Change(lastIndex() + 1, nowMs, entry));
    }

    private long lastIndex() {
        return changes.isEmpty() ? 1 : changes.get(changes.size() - 1).index();
    }

    public Entry entry(String name) {
        return entriesAt(lastIndex()).get(name);
    }

    /** Returns the highest index of the changes made up to a time. */
    long indexAt(double ms) {
        long index = 1;
        for (Change change : changes) {
            if (change.atMs <= ms) {
                index = change.index;
            }
        }
        return index;
    }

    /** Returns the whole list as it was at an index, by the names of the servers. */
    Map<String, Entry> entriesAt(long index) {
        var entries = new LinkedHashMap<String, Entry>();
        changes.stream()
                .filter(change -> change.index <= index)
                .forEach(change -> entries.put(change.entry.name, change.entry));
        return entries;
    }

    /**
     * Returns the changes after one index and up to another, with the last entry of each server.
     */
    Map<String, Entry> changesBetween(long after, long upTo) {
        var entries = new LinkedHashMap<String, Entry>();
        changes.stream()
                .filter(change -> change.index > after && change.index <= upTo)
                .forEach(change -> entries.put(change.entry.name, change.entry));
        return entries;
    }
}
