package cloverpulley.outs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Derives the health of upstreams from an instance's own traffic. It reports only health that differs from the ledger's, and the reports that a
 * returning member waits for, each at most once per interval. The number of tracked upstreams is bounded. Not thread-safe.
 */
public final class UpstreamHealthMonitor {

  private static final int MIN_FAILURES = 3;
  private static final int MAX_UPSTREAMS = DisruptionLedger.MAX_MEMBERS;

  private static final class Tracked {
    int failures;
    boolean timedOut;
    long answeredAt = Long.MIN_VALUE;
    long reportedAt = Long.MIN_VALUE / 2;
    /** When this instance first saw the upstream returning under the permit {@link #returningEpoch}, by its own clock. */
    long returningSince;
    long returningEpoch;
    Health reported;
  }

  private final String observer;
  private final long warmMillis;
  private final long repeatMillis;
  private final Map<String, Tracked> tracked = new HashMap<>();

  /**
   * @param observer the name of this instance
   * @param warmMillis duration of the slow start of a returning upstream
   * @param repeatMillis interval after which a report that still holds is repeated
   */
  public UpstreamHealthMonitor(String observer, long warmMillis, long repeatMillis) {
    this.observer = observer;
    this.warmMillis = warmMillis;
    this.repeatMillis = repeatMillis;
  }

  /**
   * Records the end of an attempt.
   *
   * @param answered whether the upstream answered, even if with an error: it is alive then
   * @param wasTimeout whether the attempt failed by a timeout
   */
  public void recordAttempt(long nowMillis, String upstream, boolean answered, boolean wasTimeout) {
    Tracked t = tracked.get(upstream);
    if (t == null) {
      if (tracked.size() >= MAX_UPSTREAMS) {
        return;
      }
      t = new Tracked();
      tracked.put(upstream, t);
    }
    if (answered) {
      t.failures = 0;
      t.answeredAt = nowMillis;
    } else {
      t.failures++;
      t.timedOut = wasTimeout;
    }
  }

  /** Returns the reports to send to the ledger now. */
  public List<Command> pendingReports(long nowMillis, LedgerState s) {
    List<Command> reports = new ArrayList<>();
    for (Map.Entry<String, Tracked> e : tracked.entrySet()) {
      LedgerState.Member m = s.members().get(e.getKey());
      Tracked t = e.getValue();
      LedgerState.Permit permit = s.outs().get(e.getKey());
      boolean unwell = m != null && m.unwell();
      if (permit != null && permit.phase() != Phase.RETURNING) {
        t.failures = 0; // Failures are expected while the upstream is out by permit.
        continue;
      }
      boolean returning = permit != null;
      if (returning && t.returningEpoch != permit.epoch()) {
        t.returningEpoch = permit.epoch();
        t.returningSince = nowMillis;
      }
      Health health = t.failures >= MIN_FAILURES ? t.timedOut ? Health.SILENT : Health.DEAD
          : returning && nowMillis - t.returningSince < warmMillis ? Health.COLD : Health.WARM;
      boolean isKnown = health != Health.WARM || t.answeredAt > Long.MIN_VALUE && nowMillis - t.answeredAt < repeatMillis;
      boolean needsReport = health == Health.WARM ? unwell || returning : health != Health.COLD;
      if (isKnown && needsReport && (health != t.reported || nowMillis - t.reportedAt >= repeatMillis)) {
        t.reported = health;
        t.reportedAt = nowMillis;
        reports.add(new Command.Seen(observer, e.getKey(), health, s.index()));
      } else if (!needsReport) {
        t.reported = null;
      }
    }
    return reports;
  }
}
