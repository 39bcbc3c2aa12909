package cloverpulley.outs;

import java.util.List;
import java.util.Map;

/**
 * All that the ledger holds, as a value: for snapshots and for those who look.
 *
 * @param nowMillis the latest time that any command was stamped with
 * @param back groups that are called back; empty text for all
 */
public record LedgerState(long index, long nowMillis, Command.Rules rules, Map<String, Member> members, Map<String, Permit> outs, List<QueuedRequest> queue,
    Map<String, ActiveHalt> halts, List<String> back, Map<String, Reply> answered, List<HistoryEntry> history) {

  /** Of a ledger that has been told nothing. */
  public static final LedgerState EMPTY = new DisruptionLedger().state();

  /** What an instance needs: those that are out or unwell, and halts. As long as that is little, so is this, however large the fleet. */
  public LedgerState instanceView() {
    Map<String, Member> some = new java.util.TreeMap<>();
    members.forEach((name, m) -> {
      if (m.unwell() || outs.containsKey(name)) {
        some.put(name, new Member(m.kind(), List.of(), m.unwell(), Map.of()));
      }
    });
    return new LedgerState(index, nowMillis, rules, some, outs, List.of(), halts, back, Map.of(), List.of());
  }

  /** One that is there, and the words on its health that were told last. */
  public record Member(MemberKind kind, List<String> groups, boolean unwell, Map<String, HealthReport> words) {}

  /** An observer's word, when it was told, and the ledger's index that the observer knew of when it saw it. */
  public record HealthReport(Health health, long atMillis, long at) {}

  /** One that is out by permit; {@code sinceIndex} is where its phase began. */
  public record Permit(Phase phase, String ask, String by, String why, boolean forced, long epoch, long sinceMillis, long sinceIndex) {}

  /** One that waits for its turn. */
  public record QueuedRequest(String ask, String member, String by, String why, long untilMillis) {}

  /** Why nothing is granted. */
  public record ActiveHalt(String by, String why, long sinceMillis) {}

  /** Something that changed, for who asks later. */
  public record HistoryEntry(long index, long atMillis, String what, String member, String by, String why) {}
}
