package cloverpulley;

/** Retry budget: limits retries and hedged requests to a part of the traffic, which prevents retry storms. */
final class RetryBudget {

  /** Tokens earned by an admitted request, and the most that are saved up: at worst a fifth more load. */
  private static final double TOKENS_PER_REQUEST = 0.2;
  private static final double MAX_TOKENS = 20;
  /** Cost of a retry after an upstream rejected the request unprocessed: that took next to no work, so that four in five
   * requests may be rejected once. Needed where upstreams accept few connections. */
  private static final double REJECTED_COST = 0.25;

  double tokens = MAX_TOKENS;

  /** Adds the tokens of an admitted request. */
  void earn() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  boolean allows(PendingRequest r) {
    return tokens >= cost(r);
  }

  void take(PendingRequest r) {
    tokens -= cost(r);
  }

  /** Whether a hedged request may be sent. */
  boolean allowsHedge() {
    return tokens >= 1;
  }

  void takeHedge() {
    tokens--;
  }

  /** Cost of the next attempt; the first one is free. */
  private static double cost(PendingRequest r) {
    return r.attempts.isEmpty() ? 0 : r.attempts.get(r.attempts.size() - 1).rejected ? REJECTED_COST : 1;
  }
}
