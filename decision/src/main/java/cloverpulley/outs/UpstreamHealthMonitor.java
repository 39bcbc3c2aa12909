package cloverpulley.outs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one instance can tell of upstreams' health from its own traffic: only what differs from what the ledger says, and what a member that
 * comes back waits for, each at most once a period. A bounded word on each upstream it has sent to. One thread at a time.
 */
public final class UpstreamHealthMonitor {

  private static final int FAILURES = 3;
  private static final int MOST = DisruptionLedger.MAX_MEMBERS;

  private static final class Own {
    int failures;
    boolean silent;
    long servedAt = Long.MIN_VALUE;
    long toldAt = Long.MIN_VALUE / 2;
    /** Since when it is seen to come back, with the permit that ends so; by this instance's own clock. */
    long backSince;
    long backEpoch;
    Health told;
  }

  private final String me;
  private final long warmMillis;
  private final long againMillis;
  private final Map<String, Own> all = new HashMap<>();

  /**
   * @param me this instance
   * @param warmMillis how long one that came back takes until it is warm
   * @param againMillis how soon a word is told again that still holds
   */
  public UpstreamHealthMonitor(String me, long warmMillis, long againMillis) {
    this.me = me;
    this.warmMillis = warmMillis;
    this.againMillis = againMillis;
  }

  /** An attempt ended: served or turned away, which shows that it lives, or broken, which may show that it does not. */
  public void recordAttempt(long nowMillis, String upstream, boolean answered, boolean nothingCame) {
    Own own = all.get(upstream);
    if (own == null) {
      if (all.size() >= MOST) {
        return;
      }
      own = new Own();
      all.put(upstream, own);
    }
    if (answered) {
      own.failures = 0;
      own.servedAt = nowMillis;
    } else {
      own.failures++;
      own.silent = nothingCame;
    }
  }

  /** What to tell the ledger now. */
  public List<Command> pendingReports(long nowMillis, LedgerState s) {
    List<Command> told = new ArrayList<>();
    for (Map.Entry<String, Own> e : all.entrySet()) {
      LedgerState.Member m = s.members().get(e.getKey());
      Own own = e.getValue();
      LedgerState.Permit out = s.outs().get(e.getKey());
      boolean unwell = m != null && m.unwell();
      if (out != null && out.phase() != Phase.RETURNING) {
        own.failures = 0; // Out by permit: nobody wonders that it fails.
        continue;
      }
      boolean returning = out != null;
      if (returning && own.backEpoch != out.epoch()) {
        own.backEpoch = out.epoch();
        own.backSince = nowMillis;
      }
      Health health = own.failures >= FAILURES ? own.silent ? Health.SILENT : Health.DEAD
          : returning && nowMillis - own.backSince < warmMillis ? Health.COLD : Health.WARM;
      boolean knows = health != Health.WARM || own.servedAt > Long.MIN_VALUE && nowMillis - own.servedAt < againMillis;
      boolean news = health == Health.WARM ? unwell || returning : health != Health.COLD;
      if (knows && news && (health != own.told || nowMillis - own.toldAt >= againMillis)) {
        own.told = health;
        own.toldAt = nowMillis;
        told.add(new Command.Seen(me, e.getKey(), health, s.index()));
      } else if (!news) {
        own.told = null;
      }
    }
    return told;
  }
}
