package sprucehold.coordinator;

/** What a shard server says of its load; a value that it doesn't tell is NaN. */
public record Load(double held, double queued, double busy) {}
