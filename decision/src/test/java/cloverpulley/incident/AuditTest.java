package cloverpulley.incident;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Audit.Check;
import cloverpulley.incident.Audit.Finding;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Audits random histories that keep the rules, and the same histories with one violation injected. */
class AuditTest {

  private static final long S = 1_000_000L;
  private static final long EPOCH = 1_764_580_000L * S;
  private static final int HISTORIES = 200;

  /** The violation to inject. */
  enum Violation { NONE, TWO_ENDS, NO_END, LATE, UNSAFE_TWICE, KEYED_OUTSIDE, KEYED_TOO_LATE, DRAINED, GONE_SERVER, COLD, LOST_OUTCOME }

  /** A history of one instance: requests of three classes to five servers in two cells; one server drains and a sixth starts during it. */
  private static final class History {
    final Origin origin = new Origin("p", EPOCH);
    final List<Entry> all = new ArrayList<>();
    final SplittableRandom random;
    final Violation violation;
    long seq;
    long at = EPOCH;
    long requests;

    History(long seed, Violation violation) {
      random = new SplittableRandom(seed);
      this.violation = violation;
    }

    Entry put(Kind kind) {
      return Entry.of(origin, ++seq, at, kind);
    }

    void add(Entry e) {
      all.add(e);
    }

    void server(long u, String state, long startedMillis) {
      Entry e = put(Kind.SERVER).withRequest(0, null, "z " + u / 3, null).withServer(u, "s" + u).withDetails(state, 1, startedMillis);
      add(e);
    }

    List<Entry> generate() {
      add(put(Kind.START).withDetails("process", 0, 1));
      for (String type : List.of("safe", "keyed", "unsafe")) {
        add(put(Kind.CLASS).withRequest(0, null, type, null).withDetails(type + " cell", 2 * S, 3 * S));
      }
      for (long u = 1; u <= 5; u++) {
        server(u, "ready", 0);
      }
      int violationAt = 150 + random.nextInt(100);
      for (int i = 0; i < 400; i++) {
        at += 2000 + random.nextInt(8000);
        if (i == 100) {
          server(1, "draining", 0);
        } else if (i == 130) {
          server(6, "ready", at / 1000);
        }
        request(i, i == violationAt ? violation : Violation.NONE);
      }
      at += 5 * S;
      add(put(Kind.STOP));
      return all;
    }

    private void request(int i, Violation now) {
      String type = switch (now) {
        case UNSAFE_TWICE -> "unsafe";
        case KEYED_OUTSIDE, KEYED_TOO_LATE -> "keyed";
        default -> List.of("safe", "keyed", "unsafe").get(random.nextInt(3));
      };
      long number = ++requests;
      String id = "q" + i;
      add(put(Kind.TAKEN).withRequest(number, id, type, "t").withDetails(null, 3 * S, 0));
      // Servers 2 to 5 get the attempts: 1 drains and 6 is in slow start.
      long u = now == Violation.DRAINED || now == Violation.GONE_SERVER ? 1 : 2 + random.nextInt(4);
      if (now == Violation.DRAINED || now == Violation.GONE_SERVER) {
        if (now == Violation.GONE_SERVER) {
          server(1, "gone", 0);
        }
        at += 3 * S;
      }
      int attempts = type.equals("safe") && random.nextInt(10) == 0 ? 2 : 1;
      for (int a = 0; a < attempts; a++) {
        send(number, id, type, a, u, a + 1 < attempts ? "timeout" : "served", now == Violation.LOST_OUTCOME);
      }
      if (type.equals("keyed") && random.nextInt(10) == 0) {
        send(number, id, type, 1, u, "served", false); // An immediate retry in the same group is allowed.
      }
      if (now == Violation.UNSAFE_TWICE) {
        send(number, id, type, 1, u, "served", false);
      } else if (now == Violation.KEYED_OUTSIDE) {
        send(number, id, type, 1, u < 3 ? 3 : 2, "served", false);
      } else if (now == Violation.KEYED_TOO_LATE) {
        at += 2 * S + 1000;
        send(number, id, type, 1, u, "served", false);
      } else if (now == Violation.COLD) {
        for (int k = 0; k < 150; k++) {
          requests++;
          add(put(Kind.TAKEN).withRequest(requests, "c" + k, "safe", "t").withDetails(null, 3 * S, 0));
          send(requests, "c" + k, "safe", 0, 6, "served", false);
          add(put(Kind.ENDED).withRequest(requests, "c" + k, "safe", "t").withDetails("served", 0, 0));
        }
      }
      if (now == Violation.LATE) {
        at += 4 * S;
      }
      if (now != Violation.NO_END) {
        add(put(Kind.ENDED).withRequest(number, id, type, "t").withDetails("served", 0, 0));
      }
      if (now == Violation.TWO_ENDS) {
        add(put(Kind.ENDED).withRequest(number, id, type, "t").withDetails("deadline", 0, Entry.FAILED));
      }
    }

    private void send(long number, String id, String type, int attempt, long u, String status, boolean lost) {
      add(put(Kind.SENT).withRequest(number, id, type, "t").withAttempt(attempt, u));
      at += 1000 + random.nextInt(2000);
      if (!lost) {
        add(put(Kind.OUTCOME).withRequest(number, id, type, "t").withAttempt(attempt, u).withDetails(status, 1000, 0));
      }
    }
  }

  private static List<Finding> audit(List<Entry> history) {
    Audit audit = new Audit(Audit.Limits.DEFAULT, true);
    history.forEach(audit::add);
    return audit.findings();
  }

  private static Check expected(Violation p) {
    return switch (p) {
      case TWO_ENDS, NO_END, LATE -> Check.ONE_ANSWER;
      case UNSAFE_TWICE, KEYED_OUTSIDE, KEYED_TOO_LATE -> Check.NO_EFFECT_TWICE;
      case DRAINED, GONE_SERVER -> Check.NOTHING_TO_DRAINED;
      case COLD -> Check.COLD_NOT_PUSHED_OVER;
      case LOST_OUTCOME, NONE -> Check.SUMS;
    };
  }

  @ParameterizedTest
  @EnumSource(Violation.class)
  void findsEachInjectedViolationAndNoneWithoutOne(Violation violation) {
    for (long seed = 1; seed <= HISTORIES; seed++) {
      List<Finding> findings = audit(new History(seed, violation).generate());
      String at = violation + ", seed " + seed + ": " + findings;
      if (violation == Violation.NONE) {
        assertTrue(findings.isEmpty(), at);
      } else {
        assertTrue(findings.stream().anyMatch(f -> f.check() == expected(violation) && f.certain()), at);
      }
    }
  }

  /** An unsafe request may be retried if the first attempt was certainly not executed. */
  @Test
  void attemptsNotExecutedMayBeRetried() {
    History h = new History(1, Violation.NONE);
    h.add(h.put(Kind.START));
    h.add(h.put(Kind.CLASS).withRequest(0, null, "unsafe", null).withDetails("unsafe cell", 0, S));
    h.server(1, "ready", 0);
    h.add(h.put(Kind.TAKEN).withRequest(1, "q", "unsafe", null).withDetails(null, S, 0));
    h.send(1, "q", "unsafe", 0, 1, "connect_failed", false);
    h.send(1, "q", "unsafe", 1, 1, "served", false);
    h.add(h.put(Kind.ENDED).withRequest(1, "q", "unsafe", null).withDetails("served", 0, 0));
    assertEquals(List.of(), audit(h.all));
  }

  /** A violation that dropped records could explain must not be reported as certain. */
  @Test
  void droppedRecordsMakeFindingsUncertain() {
    List<Entry> history = new History(3, Violation.LOST_OUTCOME).generate();
    Entry last = history.get(history.size() - 1);
    history.add(history.size() - 1, Entry.of(last.origin(), last.seq(), last.at(), Kind.DROPPED).withDetails("outcome", 1, 0));
    List<Finding> findings = audit(history);
    assertTrue(findings.stream().anyMatch(f -> f.check() == Check.SUMS), findings.toString());
    assertTrue(findings.stream().noneMatch(Finding::certain), findings.toString());
  }

  /** The counts of a history without its beginning do not balance, which must not be reported as a violation. */
  @Test
  void balanceIsNotCheckedForIncompleteHistories() {
    List<Entry> history = new History(5, Violation.NONE).generate();
    Audit audit = new Audit(Audit.Limits.DEFAULT, false);
    history.subList(200, history.size()).forEach(audit::add);
    assertTrue(audit.findings().stream().noneMatch(f -> f.check() == Check.SUMS), audit.findings().toString());
  }
}
