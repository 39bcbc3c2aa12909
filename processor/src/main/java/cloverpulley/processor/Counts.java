package cloverpulley.processor;

import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What a processor has done since its start; read from any thread. */
public final class Counts {

  final LongAdder calls = new LongAdder();
  final LongAdder joined = new LongAdder();
  final LongAdder sent = new LongAdder();
  /** Verdicts given by the guard: neither the module nor the engine had one in time. */
  final LongAdder guarded = new LongAdder();
  /** Streams whose caller broke the protocol. */
  final LongAdder broken = new LongAdder();
  final LongAdder observed = new LongAdder();
  private final Map<Reason, LongAdder> ended = new EnumMap<>(Reason.class);
  private final Map<Status, LongAdder> outcomes = new EnumMap<>(Status.class);

  Counts() {
    for (Reason reason : Reason.values()) {
      ended.put(reason, new LongAdder());
    }
    for (Status status : Status.values()) {
      outcomes.put(status, new LongAdder());
    }
  }

  void count(Reason reason) {
    ended.get(reason).increment();
  }

  void outcome(Status status) {
    outcomes.get(status).increment();
  }

  public long calls() {
    return calls.sum();
  }

  /** Calls that were given a destination. */
  public long sent() {
    return sent.sum();
  }

  /** Calls that were found to repeat an earlier one. */
  public long joined() {
    return joined.sum();
  }

  public long guarded() {
    return guarded.sum();
  }

  public long broken() {
    return broken.sum();
  }

  /** Streams that only watched. */
  public long observed() {
    return observed.sum();
  }

  /** Calls that were answered without a destination, for a reason. */
  public long ended(Reason reason) {
    return ended.get(reason).sum();
  }

  /** Attempts that ended so. */
  public long outcomes(Status status) {
    return outcomes.get(status).sum();
  }

  /** One line, without what never happened. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("calls=" + calls + " sent=" + sent + " joined=" + joined + " guarded=" + guarded
        + " broken=" + broken);
    ended.forEach((reason, count) -> {
      if (count.sum() > 0) {
        text.append(' ').append(reason.code()).append('=').append(count);
      }
    });
    outcomes.forEach((status, count) -> {
      if (count.sum() > 0) {
        text.append(' ').append(status.name().toLowerCase(java.util.Locale.ROOT)).append('=').append(count);
      }
    });
    return text.toString();
  }
}
