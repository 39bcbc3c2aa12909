package cloverpulley;

import cloverpulley.Window.Metric;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** This balancer's part of each tenant's quota: a bucket; what finds it empty is excess. */
final class Shares {

  /** Seconds of its quota that a tenant may save up, and the requests it always may: guards a small part of a
   * quota against chance arrivals. */
  private static final double BURST = 1;
  private static final double LEAST = 10;

  private final Windows windows;
  private final Map<String, Double> quotas = new HashMap<>();
  private final Map<String, Bucket> buckets = new HashMap<>();

  Shares(Balancer.Settings settings, Windows windows) {
    this.windows = windows;
    retune(settings);
  }

  /** Other quotas hold from here on; what was saved up stays. */
  void retune(Balancer.Settings settings) {
    quotas.clear();
    settings.tenants().stream().filter(t -> t.quotaPerSecond() > 0)
        .forEach(t -> quotas.put(t.name(), t.quotaPerSecond() / settings.groupSize()));
    buckets.keySet().retainAll(quotas.keySet());
  }

  /** Whether a tenant has a quota. */
  boolean has(String tenant) {
    return quotas.containsKey(tenant);
  }

  /** Charges a request of a tenant; whether it is over the quota. */
  boolean isOver(long now, String tenant) {
    if (!has(tenant)) {
      return false;
    }
    windows.of(tenant, now).add(now, Metric.OFFERED, 1);
    Bucket quota = buckets.computeIfAbsent(tenant, k -> new Bucket());
    double rate = quotas.get(tenant) * carried(now, tenant);
    boolean over = quota.fill(now, rate, Math.max(LEAST, rate * BURST)) < 1;
    quota.tokens -= over ? 0 : 1;
    return over;
  }

  /** How many times its even part of the traffic this balancer carries: what the median of the other tenants
   * surely asks here against its part. Guards in-share work where a front favours a balancer or peers die. */
  private double carried(long now, String tenant) {
    double[] times = new double[quotas.size()];
    int others = 0;
    for (Map.Entry<String, Double> quota : quotas.entrySet()) {
      if (!quota.getKey().equals(tenant)) {
        times[others++] = windows.of(quota.getKey(), now).surely(now, Metric.OFFERED) / quota.getValue();
      }
    }
    Arrays.sort(times, 0, others);
    return others == 0 ? 1 : Math.max(1, times[(others - 1) / 2]);
  }
}
