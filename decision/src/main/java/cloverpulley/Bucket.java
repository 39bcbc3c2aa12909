package cloverpulley;

/** A token bucket; its rate and size may differ from one filling to the next. */
final class Bucket {
  double tokens;
  long filledAt;

  double fill(long now, double perSecond, double most) {
    tokens = Math.min(most, tokens + perSecond * (now - filledAt) / 1e9);
    filledAt = now;
    return tokens;
  }
}
