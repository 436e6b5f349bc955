package sprucehold.rig.list;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of shard servers, and each change of it with its index, from 1 on. */
public final class ServerList {
    /** Whether a server may be sent to. */
    public enum Status {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /**
     * What the list says of one server.
     *
     * @param sinceMs when it last started, by the run's clock; 0 for long ago
     * @param life how often it came back, each time at another address
     */
    public record Entry(
            String name, String site, int cell, Status status, double sinceMs, int life) {}

    /** An entry that changed. */
    public record Change(long index, double atMs, Entry entry) {}

    private final List<Change> changes = new ArrayList<>();

    public ServerList(List<Entry> first) {
        first.forEach(entry -> changes.add(new Change(1, 0, entry)));
    }

    public void change(double nowMs, Entry entry) {
        changes.add(new Change(last() + 1, nowMs, entry));
    }

    private long last() {
        return changes.isEmpty() ? 1 : changes.get(changes.size() - 1).index();
    }

    public Entry entry(String name) {
        return at(last()).get(name);
    }

    /** The highest index that was made by then. */
    long indexAt(double ms) {
        long index = 1;
        for (Change change : changes) {
            if (change.atMs <= ms) {
                index = change.index;
            }
        }
        return index;
    }

    /** The whole list as it was at an index. */
    Map<String, Entry> at(long index) {
        var entries = new LinkedHashMap<String, Entry>();
        changes.stream()
                .filter(change -> change.index <= index)
                .forEach(change -> entries.put(change.entry.name, change.entry));
        return entries;
    }

    /** What changed after one index up to another, the last of each server. */
    Map<String, Entry> between(long after, long upTo) {
        var entries = new LinkedHashMap<String, Entry>();
        changes.stream()
                .filter(change -> change.index > after && change.index <= upTo)
                .forEach(change -> entries.put(change.entry.name, change.entry));
        return entries;
    }
}
