package cloverpulley;

/** A token bucket; rate and size are given with each refill. */
final class Bucket {
  double tokens;
  long filledAt;

  double fill(long now, double perSecond, double size) {
    tokens = Math.min(size, tokens + perSecond * (now - filledAt) / 1e9);
    filledAt = now;
    return tokens;
  }
}
