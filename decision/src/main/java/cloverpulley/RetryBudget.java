package cloverpulley;

/** How many attempts may be further ones of their requests: guards upstreams from a storm of repeats. */
final class RetryBudget {

  /** Retries and copies earned by a request admitted, and the most saved up: a fifth more load at worst. */
  private static final double SHARE = 0.2;
  private static final double MOST = 20;
  /** What a retry costs after an upstream turned the request away unseen: next to no work was done, so that
   * four in five requests may be turned away once. Guards requests where upstreams hold few connections. */
  private static final double UNSEEN_COST = 0.25;

  double tokens = MOST;

  /** A request was admitted. */
  void earn() {
    tokens = Math.min(MOST, tokens + SHARE);
  }

  boolean allows(Open r) {
    return tokens >= cost(r);
  }

  void take(Open r) {
    tokens -= cost(r);
  }

  /** A second copy while the first is out. */
  boolean allowsCopy() {
    return tokens >= 1;
  }

  void takeCopy() {
    tokens--;
  }

  /** What the next attempt takes: nothing for the first. */
  private static double cost(Open r) {
    return r.attempts.isEmpty() ? 0 : r.attempts.get(r.attempts.size() - 1).unseen ? UNSEEN_COST : 1;
  }
}
