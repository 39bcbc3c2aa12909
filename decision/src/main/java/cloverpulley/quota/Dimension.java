package cloverpulley.quota;

import java.util.Locale;

/** What a limit counts. */
public enum Dimension {
  REQUESTS, BYTES_IN, BYTES_OUT,
  /** Server time in milliseconds, from the cost hint of a request. */
  WORK,
  /** Requests in flight; it has no window. */
  CONCURRENCY;

  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
