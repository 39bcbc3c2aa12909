package cloverpulley.quota;

import java.util.Locale;

/** What is limited. */
public enum Dimension {
  REQUESTS, BYTES_IN, BYTES_OUT,
  /** By hint, in milliseconds of a server's time. */
  WORK,
  /** Requests in flight at one time; it has no window. */
  CONCURRENCY;

  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
