package cloverpulley.processor;

import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of a processor since its start; may be read from any thread. */
public final class Counts {

  final LongAdder calls = new LongAdder();
  final LongAdder retries = new LongAdder();
  final LongAdder sent = new LongAdder();
  /** Calls that the stream's guard timer answered, because neither the module nor the engine had decided in time. */
  final LongAdder guardTimeouts = new LongAdder();
  /** Streams closed because the caller violated the protocol. */
  final LongAdder protocolErrors = new LongAdder();
  final LongAdder observedStreams = new LongAdder();
  private final Map<Reason, LongAdder> localReplies = new EnumMap<>(Reason.class);
  private final Map<Status, LongAdder> outcomes = new EnumMap<>(Status.class);

  Counts() {
    for (Reason reason : Reason.values()) {
      localReplies.put(reason, new LongAdder());
    }
    for (Status status : Status.values()) {
      outcomes.put(status, new LongAdder());
    }
  }

  void countLocalReply(Reason reason) {
    localReplies.get(reason).increment();
  }

  void countOutcome(Status status) {
    outcomes.get(status).increment();
  }

  public long calls() {
    return calls.sum();
  }

  /** Calls that were given a destination. */
  public long sent() {
    return sent.sum();
  }

  /** Calls recognized as retries of an earlier call. */
  public long retries() {
    return retries.sum();
  }

  public long guardTimeouts() {
    return guardTimeouts.sum();
  }

  public long protocolErrors() {
    return protocolErrors.sum();
  }

  /** Streams in observability mode. */
  public long observedStreams() {
    return observedStreams.sum();
  }

  /** Calls answered with a reply of the balancer's own, by reason. */
  public long localReplies(Reason reason) {
    return localReplies.get(reason).sum();
  }

  /** Attempts that ended with this status. */
  public long outcomes(Status status) {
    return outcomes.get(status).sum();
  }

  /** One line of counters; reasons and outcomes that never occurred are left out. */
  @Override
  public String toString() {
    StringBuilder line = new StringBuilder("calls=" + calls + " sent=" + sent + " joined=" + retries + " guarded=" + guardTimeouts
        + " broken=" + protocolErrors);
    localReplies.forEach((reason, count) -> {
      if (count.sum() > 0) {
        line.append(' ').append(reason.code()).append('=').append(count);
      }
    });
    outcomes.forEach((status, count) -> {
      if (count.sum() > 0) {
        line.append(' ').append(status.name().toLowerCase(java.util.Locale.ROOT)).append('=').append(count);
      }
    });
    return line.toString();
  }
}
