package cloverpulley.outs;

import java.util.List;
import java.util.Map;

/**
 * The complete state of the ledger, for snapshots and readers. Written as JSON under the names of the record components.
 *
 * @param nowMillis the latest timestamp of any command
 * @param back groups whose members are being returned to service; an empty name stands for all members
 * @param answered replies to recent requests by request name, so that a repeated request is answered as before
 */
public record LedgerState(long index, long nowMillis, Command.Rules rules, Map<String, Member> members, Map<String, Permit> outs,
    List<QueuedRequest> queue, Map<String, ActiveHalt> halts, List<String> back, Map<String, Reply> answered, List<HistoryEntry> history) {

  /** The state before any command. */
  public static final LedgerState EMPTY = new DisruptionLedger().state();

  /**
   * The part that an instance needs: members that are out or unwell, permits and halts. Its size depends on the number of those members, not on
   * the size of the fleet.
   */
  public LedgerState instanceView() {
    Map<String, Member> relevant = new java.util.TreeMap<>();
    members.forEach((name, m) -> {
      if (m.unwell() || outs.containsKey(name)) {
        relevant.put(name, new Member(m.kind(), List.of(), m.unwell(), Map.of()));
      }
    });
    return new LedgerState(index, nowMillis, rules, relevant, outs, List.of(), halts, back, Map.of(), List.of());
  }

  /** A member with the latest health report of each observer. */
  public record Member(MemberKind kind, List<String> groups, boolean unwell, Map<String, HealthReport> words) {}

  /** A health report, when it was applied, and the log index that the observer had applied when it made the observation. */
  public record HealthReport(Health health, long atMillis, long at) {}

  /** Permission for a member to be out of service; {@code sinceMillis} and {@code sinceIndex} are when its current phase began. */
  public record Permit(Phase phase, String ask, String by, String why, boolean forced, long epoch, long sinceMillis, long sinceIndex) {}

  /** A request that waits for a slot. */
  public record QueuedRequest(String ask, String member, String by, String why, long untilMillis) {}

  /** A halt that is in force. */
  public record ActiveHalt(String by, String why, long sinceMillis) {}

  /** A change of the ledger, kept for audit. */
  public record HistoryEntry(long index, long atMillis, String what, String member, String by, String why) {}
}
