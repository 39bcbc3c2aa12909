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

/** Seeded histories that keep the rules, and the same with one break planted. */
class AuditTest {

  private static final long S = 1_000_000L;
  private static final long EPOCH = 1_764_580_000L * S;
  private static final int HISTORIES = 200;

  /** What is planted. */
  enum Plant { NONE, TWO_ENDS, NO_END, LATE, UNSAFE_TWICE, KEYED_OUTSIDE, KEYED_TOO_LATE, DRAINED, GONE_SERVER, COLD, LOST_OUTCOME }

  /** A history of one instance: requests of three classes to five servers in two cells, one of which drains and one starts cold. */
  private static final class History {
    final Origin origin = new Origin("p", EPOCH);
    final List<Entry> all = new ArrayList<>();
    final SplittableRandom random;
    final Plant plant;
    long seq;
    long at = EPOCH;
    long requests;

    History(long seed, Plant plant) {
      random = new SplittableRandom(seed);
      this.plant = plant;
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

    List<Entry> play() {
      add(put(Kind.START).withDetails("process", 0, 1));
      for (String type : List.of("safe", "keyed", "unsafe")) {
        add(put(Kind.CLASS).withRequest(0, null, type, null).withDetails(type + " cell", 2 * S, 3 * S));
      }
      for (long u = 1; u <= 5; u++) {
        server(u, "ready", 0);
      }
      int planted = 150 + random.nextInt(100);
      for (int i = 0; i < 400; i++) {
        at += 2000 + random.nextInt(8000);
        if (i == 100) {
          server(1, "draining", 0);
        } else if (i == 130) {
          server(6, "ready", at / 1000);
        }
        request(i, i == planted ? plant : Plant.NONE);
      }
      at += 5 * S;
      add(put(Kind.STOP));
      return all;
    }

    private void request(int i, Plant now) {
      String type = switch (now) {
        case UNSAFE_TWICE -> "unsafe";
        case KEYED_OUTSIDE, KEYED_TOO_LATE -> "keyed";
        default -> List.of("safe", "keyed", "unsafe").get(random.nextInt(3));
      };
      long number = ++requests;
      String id = "q" + i;
      add(put(Kind.TAKEN).withRequest(number, id, type, "t").withDetails(null, 3 * S, 0));
      // Cold ones get little, drained ones nothing; those that are left are 2 to 5.
      long u = now == Plant.DRAINED || now == Plant.GONE_SERVER ? 1 : 2 + random.nextInt(4);
      if (now == Plant.DRAINED || now == Plant.GONE_SERVER) {
        if (now == Plant.GONE_SERVER) {
          server(1, "gone", 0);
        }
        at += 3 * S;
      }
      int attempts = type.equals("safe") && random.nextInt(10) == 0 ? 2 : 1;
      for (int a = 0; a < attempts; a++) {
        send(number, id, type, a, u, a + 1 < attempts ? "timeout" : "served", now == Plant.LOST_OUTCOME);
      }
      if (type.equals("keyed") && random.nextInt(10) == 0) {
        send(number, id, type, 1, u, "served", false); // Again in the same group at once: allowed.
      }
      if (now == Plant.UNSAFE_TWICE) {
        send(number, id, type, 1, u, "served", false);
      } else if (now == Plant.KEYED_OUTSIDE) {
        send(number, id, type, 1, u < 3 ? 3 : 2, "served", false);
      } else if (now == Plant.KEYED_TOO_LATE) {
        at += 2 * S + 1000;
        send(number, id, type, 1, u, "served", false);
      } else if (now == Plant.COLD) {
        for (int k = 0; k < 150; k++) {
          requests++;
          add(put(Kind.TAKEN).withRequest(requests, "c" + k, "safe", "t").withDetails(null, 3 * S, 0));
          send(requests, "c" + k, "safe", 0, 6, "served", false);
          add(put(Kind.ENDED).withRequest(requests, "c" + k, "safe", "t").withDetails("served", 0, 0));
        }
      }
      if (now == Plant.LATE) {
        at += 4 * S;
      }
      if (now != Plant.NO_END) {
        add(put(Kind.ENDED).withRequest(number, id, type, "t").withDetails("served", 0, 0));
      }
      if (now == Plant.TWO_ENDS) {
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

  private static Check expected(Plant p) {
    return switch (p) {
      case TWO_ENDS, NO_END, LATE -> Check.ONE_ANSWER;
      case UNSAFE_TWICE, KEYED_OUTSIDE, KEYED_TOO_LATE -> Check.NO_EFFECT_TWICE;
      case DRAINED, GONE_SERVER -> Check.NOTHING_TO_DRAINED;
      case COLD -> Check.COLD_NOT_PUSHED_OVER;
      case LOST_OUTCOME, NONE -> Check.SUMS;
    };
  }

  @ParameterizedTest
  @EnumSource(Plant.class)
  void eachPlantedBreakIsFoundAndNoneWhereNoneWasPlanted(Plant plant) {
    for (long seed = 1; seed <= HISTORIES; seed++) {
      List<Finding> findings = audit(new History(seed, plant).play());
      String at = plant + ", seed " + seed + ": " + findings;
      if (plant == Plant.NONE) {
        assertTrue(findings.isEmpty(), at);
      } else {
        assertTrue(findings.stream().anyMatch(f -> f.check() == expected(plant) && f.certain()), at);
      }
    }
  }

  /** A first attempt that surely did not run may be followed by another, also of what is unsafe. */
  @Test
  void whatDidNotRunMayBeSentAgain() {
    History h = new History(1, Plant.NONE);
    h.add(h.put(Kind.START));
    h.add(h.put(Kind.CLASS).withRequest(0, null, "unsafe", null).withDetails("unsafe cell", 0, S));
    h.server(1, "ready", 0);
    h.add(h.put(Kind.TAKEN).withRequest(1, "q", "unsafe", null).withDetails(null, S, 0));
    h.send(1, "q", "unsafe", 0, 1, "connect_failed", false);
    h.send(1, "q", "unsafe", 1, 1, "served", false);
    h.add(h.put(Kind.ENDED).withRequest(1, "q", "unsafe", null).withDetails("served", 0, 0));
    assertEquals(List.of(), audit(h.all));
  }

  /** What records that were dropped could explain is not called broken. */
  @Test
  void droppedRecordsMakeSumsUnsettled() {
    List<Entry> history = new History(3, Plant.LOST_OUTCOME).play();
    Entry last = history.get(history.size() - 1);
    history.add(history.size() - 1, Entry.of(last.origin(), last.seq(), last.at(), Kind.DROPPED).withDetails("outcome", 1, 0));
    List<Finding> findings = audit(history);
    assertTrue(findings.stream().anyMatch(f -> f.check() == Check.SUMS), findings.toString());
    assertTrue(findings.stream().noneMatch(Finding::certain), findings.toString());
  }

  /** Without the beginning no sums are drawn. */
  @Test
  void aCourseReadInPartIsNotTakenForABrokenOne() {
    List<Entry> history = new History(5, Plant.NONE).play();
    Audit audit = new Audit(Audit.Limits.DEFAULT, false);
    history.subList(200, history.size()).forEach(audit::add);
    assertTrue(audit.findings().stream().noneMatch(f -> f.check() == Check.SUMS), audit.findings().toString());
  }
}
