package cloverpulley.repeats;

import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Knows which calls speak of the same request, and what became of its earlier attempts: for fronts whose callers make the
 * attempts and ask anew before each. Pure: no clock, no I/O, one thread.
 *
 * <p>What it can't know it does not permit: a call that says it is a repeat of attempts that were not recorded here (made
 * through another process, or before a restart) gets {@link Unknown} unless its class is safe. Records are bounded in count
 * and in time; one that could still forbid something is never dropped to make room, a new request is turned away instead.
 * Every call costs constant time.
 */
public final class Repeats {

  /** Tries kept of one request; past them it is not known whether one more is safe. */
  static final int MOST_TRIES = 16;

  /**
   * Bounds.
   *
   * @param most records held at one time, 1 or more; each takes some 400 bytes with an id of 40 letters
   * @param keepNanos how long a record outlives the last word on its request: at least as long as a caller may repeat
   */
  public record Config(int most, long keepNanos) {
    public Config {
      if (most < 1 || keepNanos < 1) {
        throw new IllegalArgumentException("records and their time must be above 0");
      }
    }
  }

  /** What a call is. */
  public sealed interface Finding permits First, Joined, Unknown, InHand, Full {}

  /** The first of its request, as far as it may matter. */
  public record First() implements Finding {}

  /** A repeat; these are the attempts before it, the oldest first, as they are known at this moment. */
  public record Joined(List<PriorAttempt> priorAttempts) implements Finding {}

  /** A repeat of attempts that are not all known, which may have run: it must not be sent. */
  public record Unknown() implements Finding {}

  /** The call before it has no verdict yet, or the id is that of another request of another class. */
  public record InHand() implements Finding {}

  /** No room for a request whose repeats would have to be known: nothing of it has run. */
  public record Full() implements Finding {}

  private final Config config;
  /** The record touched longest ago comes first. */
  private final LinkedHashMap<String, Record> records = new LinkedHashMap<>(64, 0.75f, true);
  /** Safe ones among them, likewise: they may go when room is needed. */
  private final LinkedHashMap<String, Record> safe = new LinkedHashMap<>(64, 0.75f, true);

  public Repeats(Config config) {
    this.config = config;
  }

  /** One attempt, from when its destination was handed over. */
  private static final class Try {
    final long upstream;
    final String zone;
    final int cell;
    final long sentAt;
    boolean mayHaveRun = true;

    Try(long upstream, String zone, int cell, long sentAt) {
      this.upstream = upstream;
      this.zone = zone;
      this.cell = cell;
      this.sentAt = sentAt;
    }
  }

  private static final class Record {
    final String className;
    final Effect effect;
    final List<Try> tries = new ArrayList<>(1);
    /** What the latest call counted. */
    int count;
    boolean undecided;
    boolean lost;
    long touched;

    Record(String className, Effect effect) {
      this.className = className;
      this.effect = effect;
    }
  }

  /**
   * A call has come.
   *
   * @param count which attempt the caller says it is, from 1; 0 where callers don't count
   */
  public Finding call(long now, String id, String className, Effect effect, int count) {
    forget(now);
    Record r = records.get(id);
    if (r == null) {
      if (count > 1 && effect != Effect.SAFE) {
        return new Unknown();
      }
      if (records.size() >= config.most && !dropSafe()) {
        return new Full();
      }
      r = new Record(className, effect);
      records.put(id, r);
      if (effect == Effect.SAFE) {
        safe.put(id, r);
      }
    }
    touch(now, id, r);
    if (r.undecided || !r.className.equals(className)) {
      return new InHand();
    }
    // A caller that counts on from another number than the latest one here has made attempts elsewhere.
    r.lost |= count > 1 && r.count > 0 && count != r.count + 1 || r.tries.size() >= MOST_TRIES;
    r.count = count > 0 ? count : r.count;
    return r.lost && effect != Effect.SAFE ? new Unknown() : found(r);
  }

  /** The call whose destination was taken back unused asks once more. */
  public Finding again(long now, String id) {
    Record r = records.get(id);
    if (r == null) {
      return new Unknown();
    }
    touch(now, id, r);
    return r.undecided ? new InHand() : r.lost && r.effect != Effect.SAFE ? new Unknown() : found(r);
  }

  private static Finding found(Record r) {
    r.undecided = true;
    if (r.tries.isEmpty()) {
      return new First();
    }
    List<PriorAttempt> priorAttempts = new ArrayList<>(r.tries.size());
    r.tries.forEach(t -> priorAttempts.add(new PriorAttempt(t.upstream, t.zone, t.cell, t.sentAt, t.mayHaveRun)));
    return new Joined(List.copyOf(priorAttempts));
  }

  /** The call that was found first or joined got its destination: from here on the attempt may run. */
  public void sent(long now, String id, long upstream, String zone, int cell) {
    Record r = records.get(id);
    if (r != null) {
      r.undecided = false;
      if (r.tries.size() < MOST_TRIES) {
        r.tries.add(new Try(upstream, zone, cell, now));
      } else {
        r.lost = true;
      }
      touch(now, id, r);
    }
  }

  /** The call that was found first or joined ended without a destination. */
  public void answered(long now, String id) {
    Record r = records.get(id);
    if (r != null) {
      r.undecided = false;
      touch(now, id, r);
    }
  }

  /**
   * The latest attempt at an upstream has ended; one that surely never ran forbids nothing any more. A safe request that was
   * served is forgotten: nothing depends on what is known of it.
   */
  public void ended(long now, String id, long upstream, Status status) {
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
    for (int i = r.tries.size() - 1; i >= 0; i--) {
      if (r.tries.get(i).upstream == upstream) {
        r.tries.get(i).mayHaveRun = !status.provesNotRun();
        return;
      }
    }
  }

  /** Records held. */
  public int size() {
    return records.size();
  }

  private void touch(long now, String id, Record r) {
    r.touched = now;
    if (r.effect == Effect.SAFE) {
      safe.get(id);
    }
  }

  private void forget(long now) {
    for (Iterator<Map.Entry<String, Record>> all = records.entrySet().iterator(); all.hasNext();) {
      Map.Entry<String, Record> eldest = all.next();
      if (now - eldest.getValue().touched < config.keepNanos) {
        return;
      }
      safe.remove(eldest.getKey());
      all.remove();
    }
  }

  private boolean dropSafe() {
    Iterator<String> eldest = safe.keySet().iterator();
    if (!eldest.hasNext()) {
      return false;
    }
    records.remove(eldest.next());
    eldest.remove();
    return true;
  }
}
