package cloverpulley;

import cloverpulley.Window.Metric;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** This balancer's part of each tenant's quota, as a token bucket; requests that find it empty are over the quota. */
final class TenantQuotas {

  /** Bucket size in seconds of the quota, and the smallest size in requests: without a minimum, random arrivals would
   * exceed a small part of a quota. */
  private static final double BURST_SECONDS = 1;
  private static final double MIN_BURST = 10;

  private final Windows windows;
  private final Map<String, Double> quotas = new HashMap<>();
  private final Map<String, Bucket> buckets = new HashMap<>();

  TenantQuotas(Balancer.Settings settings, Windows windows) {
    this.windows = windows;
    applySettings(settings);
  }

  /** Applies new quotas; the tokens that were saved up stay. */
  void applySettings(Balancer.Settings settings) {
    quotas.clear();
    settings.tenants().stream().filter(t -> t.quotaPerSecond() > 0)
        .forEach(t -> quotas.put(t.name(), t.quotaPerSecond() / settings.groupSize()));
    buckets.keySet().retainAll(quotas.keySet());
  }

  boolean hasQuota(String tenant) {
    return quotas.containsKey(tenant);
  }

  /** Charges a request to its tenant; returns whether it is over the quota. */
  boolean charge(long now, String tenant) {
    if (!hasQuota(tenant)) {
      return false;
    }
    windows.of(tenant, now).add(now, Metric.OFFERED, 1);
    Bucket quota = buckets.computeIfAbsent(tenant, k -> new Bucket());
    double rate = quotas.get(tenant) * trafficRatio(now, tenant);
    boolean over = quota.fill(now, rate, Math.max(MIN_BURST, rate * BURST_SECONDS)) < 1;
    quota.tokens -= over ? 0 : 1;
    return over;
  }

  /** How many times its equal part of the traffic this balancer carries, by the median of the other tenants' request rates
   * (lower bounds) relative to their quotas. Keeps requests within quota from being rejected where traffic is uneven or
   * peers fail. */
  private double trafficRatio(long now, String tenant) {
    double[] ratios = new double[quotas.size()];
    int others = 0;
    for (Map.Entry<String, Double> quota : quotas.entrySet()) {
      if (!quota.getKey().equals(tenant)) {
        ratios[others++] = windows.of(quota.getKey(), now).lowerBoundRate(now, Metric.OFFERED) / quota.getValue();
      }
    }
    Arrays.sort(ratios, 0, others);
    return others == 0 ? 1 : Math.max(1, ratios[(others - 1) / 2]);
  }
}
