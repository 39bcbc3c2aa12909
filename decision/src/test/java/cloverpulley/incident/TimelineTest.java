package cloverpulley.incident;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TimelineTest {

  private static final long S = 1_000_000L;
  private static final Origin FIRST = new Origin("p1", 100 * S);
  private static final Origin SECOND = new Origin("p1", 200 * S);
  private static final Clocks CLOCKS = new Clocks("p1", Map.of("p1", new long[] {100 * S, 300 * S}), List.of());

  private static Entry at(Origin o, long seq, long at, Kind kind) {
    return Entry.of(o, seq, at, kind);
  }

  private static Entry answer(Origin o, long seq, long at, int answer) {
    return at(o, seq, at, Kind.ANSWERED).withRequest(0, null, "c", "t").withDetails(answer == 0 ? "served" : "over_rate", 2 * S, answer);
  }

  /** Two incarnations of one instance, the first killed with two pending requests: the time between them must be reported as a gap. */
  @Test
  void crashLeavesAnUnboundedGap() {
    Timeline c = new Timeline(10 * S, true);
    c.add(at(FIRST, 1, 100 * S, Kind.START).withDetails("process", 0, 2), CLOCKS);
    c.add(at(FIRST, 2, 110 * S, Kind.TAKEN).withRequest(1, "a", "c", "t"), CLOCKS);
    c.add(at(FIRST, 3, 111 * S, Kind.TAKEN).withRequest(2, "b", "c", "t"), CLOCKS);
    c.add(at(FIRST, 4, 112 * S, Kind.TAKEN).withRequest(3, "c", "c", "t"), CLOCKS);
    c.add(at(FIRST, 5, 113 * S, Kind.ENDED).withRequest(3, "c", "c", "t").withDetails("served", 0, 0), CLOCKS);
    c.add(at(SECOND, 1, 200 * S, Kind.START).withDetails("process", 0, 2), CLOCKS);
    c.add(at(SECOND, 2, 210 * S, Kind.STOP), CLOCKS);
    List<Timeline.Gap> gaps = c.gaps(CLOCKS);
    Timeline.Gap crash = gaps.get(0);
    assertEquals(113 * S, crash.from());
    assertEquals(200 * S, crash.to());
    assertEquals(2, crash.minUnknown());
    assertTrue(crash.isUnbounded(), crash.toString());
    assertTrue(gaps.stream().anyMatch(g -> g.instance().contains("without records")), "one of two processes has none: " + gaps);
    assertEquals(2, c.unresolvedRequests());
  }

  @Test
  void answersAreCountedInTheIntervalTheirRequestsArrived() {
    Timeline c = new Timeline(10 * S, true);
    c.add(answer(FIRST, 1, 111 * S, Entry.SERVED), CLOCKS); // Arrived at 109 s.
    c.add(answer(FIRST, 2, 113 * S, Entry.REFUSED), CLOCKS);
    c.add(answer(FIRST, 3, 114 * S, Entry.SERVED).withDetails("caller", 2 * S, 0), CLOCKS); // The caller's record: not counted again.
    assertEquals(1, c.count(100 * S, "c", "t", Entry.SERVED));
    assertEquals(1, c.count(110 * S, null, null, Entry.REFUSED));
    assertEquals(2, c.count(null, null, null, null));
    assertTrue(c.latencyPercentile(100 * S, 50) >= 2 * S && c.latencyPercentile(100 * S, 50) < 3 * S, "" + c.latencyPercentile(100 * S, 50));
  }

  @Test
  void droppedAndMissingRecordsAreBounds() {
    Timeline c = new Timeline(10 * S, true);
    c.add(at(FIRST, 1, 100 * S, Kind.START).withDetails("process", 0, 1), CLOCKS);
    c.add(at(FIRST, 5, 101 * S, Kind.DROPPED).withDetails("taken", 7, 0), CLOCKS);
    c.add(at(FIRST, 6, 102 * S, Kind.STOP), CLOCKS);
    List<Timeline.Gap> gaps = c.gaps(CLOCKS);
    assertEquals(1, gaps.size(), gaps.toString());
    assertEquals(10, gaps.get(0).maxUnknown());
    assertTrue(gaps.get(0).reason().contains("taken=7") && gaps.get(0).reason().contains("missing 3"), gaps.toString());
  }

  /** Tenant names come from requests: their number is bounded, and the ones beyond it are still included in the totals. */
  @Test
  void tenantsBeyondTheBoundShareOneCounter() {
    Timeline c = new Timeline(10 * S, true);
    for (int i = 0; i < 30_000; i++) {
      c.add(at(FIRST, i + 1, 105 * S, Kind.ANSWERED).withRequest(0, null, "c", "t" + i).withDetails("served", 0, 0), CLOCKS);
    }
    assertTrue(c.tenants().size() <= 10_000);
    assertEquals(30_000, c.count(null, null, null, Entry.SERVED));
  }
}
