package cloverpulley.repeats;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Status;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the attempts of each request across calls, for fronts whose callers make the attempts themselves and call again
 * before each one. It has no clock and no I/O and is used from one thread.
 *
 * <p>It fails closed: a call that claims to follow attempts that were not recorded here (made through another process, or
 * before a restart) gets {@link UnknownHistory} unless its class is safe. Records are bounded in number and in time; a record
 * that could still forbid a retry is never evicted, a new request is rejected instead. Every call takes constant time.
 */
public final class AttemptTracker {

  /** Attempts recorded per request; beyond them it is unknown whether another one is safe. */
  static final int MAX_ATTEMPTS = 16;

  /**
   * Bounds.
   *
   * @param maxRecords most records at one time, 1 or more; each takes about 400 bytes with an id of 40 letters
   * @param retentionNanos how long a record is kept after its last use: at least as long as a caller may retry
   */
  public record Config(int maxRecords, long retentionNanos) {
    public Config {
      if (maxRecords < 1 || retentionNanos < 1) {
        throw new IllegalArgumentException("the number of records and their retention must be above 0");
      }
    }
  }

  /** How a call relates to the recorded attempts of its request. */
  public sealed interface Result permits FirstCall, Retry, UnknownHistory, InProgress, TableFull {}

  /** The first call of its request, or none of the attempts before it matters. */
  public record FirstCall() implements Result {}

  /** A retry; {@code priorAttempts} are the attempts before it, the oldest first, as known at this moment. */
  public record Retry(List<PriorAttempt> priorAttempts) implements Result {}

  /** A retry whose prior attempts are not all known and may have run: it must not be sent. */
  public record UnknownHistory() implements Result {}

  /** The previous call of the request is still undecided, or the id is in use by a request of another class. */
  public record InProgress() implements Result {}

  /** The table is full, so that later retries could not be recognised: the request must not be sent. Nothing of it has run. */
  public record TableFull() implements Result {}

  private final Config config;
  /** All records, the least recently used first. */
  private final LinkedHashMap<String, Record> records = new LinkedHashMap<>(64, 0.75f, true);
  /** The records of safe requests, in the same order: they may be evicted when the table is full. */
  private final LinkedHashMap<String, Record> safe = new LinkedHashMap<>(64, 0.75f, true);

  public AttemptTracker(Config config) {
    this.config = config;
  }

  /** One attempt, from the moment the caller got its destination. */
  private static final class RecordedAttempt {
    final long upstream;
    final String zone;
    final int cell;
    final long sentAt;
    boolean mayHaveRun = true;

    RecordedAttempt(long upstream, String zone, int cell, long sentAt) {
      this.upstream = upstream;
      this.zone = zone;
      this.cell = cell;
      this.sentAt = sentAt;
    }
  }

  private static final class Record {
    final String className;
    final Effect effect;
    final List<RecordedAttempt> attempts = new ArrayList<>(1);
    /** The attempt number that the latest call gave. */
    int count;
    boolean undecided;
    boolean incomplete;
    long lastUsed;

    Record(String className, Effect effect) {
      this.className = className;
      this.effect = effect;
    }
  }

  /**
   * Handles a new call.
   *
   * @param count the attempt number given by the caller, from 1; 0 if callers don't count
   */
  public Result onCall(long now, String id, String className, Effect effect, int count) {
    removeExpired(now);
    Record r = records.get(id);
    if (r == null) {
      if (count > 1 && effect != Effect.SAFE) {
        return new UnknownHistory();
      }
      if (records.size() >= config.maxRecords && !evictSafe()) {
        return new TableFull();
      }
      r = new Record(className, effect);
      records.put(id, r);
      if (effect == Effect.SAFE) {
        safe.put(id, r);
      }
    }
    touch(now, id, r);
    if (r.undecided || !r.className.equals(className)) {
      return new InProgress();
    }
    // A number that does not follow the latest one means that the caller has made attempts through another process.
    r.incomplete |= count > 1 && r.count > 0 && count != r.count + 1 || r.attempts.size() >= MAX_ATTEMPTS;
    r.count = count > 0 ? count : r.count;
    return r.incomplete && effect != Effect.SAFE ? new UnknownHistory() : begin(r);
  }

  /** Handles a call whose destination was withdrawn before the caller used it, and which needs another one. */
  public Result onReselect(long now, String id) {
    Record r = records.get(id);
    if (r == null) {
      return new UnknownHistory();
    }
    touch(now, id, r);
    return r.undecided ? new InProgress() : r.incomplete && r.effect != Effect.SAFE ? new UnknownHistory() : begin(r);
  }

  private static Result begin(Record r) {
    r.undecided = true;
    if (r.attempts.isEmpty()) {
      return new FirstCall();
    }
    List<PriorAttempt> priorAttempts = new ArrayList<>(r.attempts.size());
    r.attempts.forEach(a -> priorAttempts.add(new PriorAttempt(a.upstream, a.zone, a.cell, a.sentAt, a.mayHaveRun)));
    return new Retry(List.copyOf(priorAttempts));
  }

  /** A call with the result {@link FirstCall} or {@link Retry} got its destination: from here on the attempt may run. */
  public void onSent(long now, String id, long upstream, String zone, int cell) {
    Record r = records.get(id);
    if (r != null) {
      r.undecided = false;
      if (r.attempts.size() < MAX_ATTEMPTS) {
        r.attempts.add(new RecordedAttempt(upstream, zone, cell, now));
      } else {
        r.incomplete = true;
      }
      touch(now, id, r);
    }
  }

  /** A call with the result {@link FirstCall} or {@link Retry} ended without a destination. */
  public void onNotSent(long now, String id) {
    Record r = records.get(id);
    if (r != null) {
      r.undecided = false;
      touch(now, id, r);
    }
  }

  /**
   * The latest attempt at an upstream has ended; one that provably never ran no longer restricts retries. The record of a safe
   * request that was served is removed, since nothing depends on it.
   */
  public void onAttemptEnded(long now, String id, long upstream, Status status) {
    Record r = records.get(id);
    if (r == null) {
      return;
    }
    if (status == Status.SERVED && r.effect == Effect.SAFE && !r.undecided) {
      records.remove(id);
      safe.remove(id);
      return;
    }
    touch(now, id, r);
    for (int i = r.attempts.size() - 1; i >= 0; i--) {
      if (r.attempts.get(i).upstream == upstream) {
        r.attempts.get(i).mayHaveRun = !status.provesNotRun();
        return;
      }
    }
  }

  /** Returns the number of records. */
  public int size() {
    return records.size();
  }

  private void touch(long now, String id, Record r) {
    r.lastUsed = now;
    if (r.effect == Effect.SAFE) {
      safe.get(id);
    }
  }

  private void removeExpired(long now) {
    for (Iterator<Map.Entry<String, Record>> all = records.entrySet().iterator(); all.hasNext();) {
      Map.Entry<String, Record> eldest = all.next();
      if (now - eldest.getValue().lastUsed < config.retentionNanos) {
        return;
      }
      safe.remove(eldest.getKey());
      all.remove();
    }
  }

  private boolean evictSafe() {
    Iterator<String> eldest = safe.keySet().iterator();
    if (!eldest.hasNext()) {
      return false;
    }
    records.remove(eldest.next());
    eldest.remove();
    return true;
  }
}
