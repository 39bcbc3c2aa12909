package cloverpulley;

import java.util.Locale;

/** Why a request got a final answer that no upstream made: one word for records, figures and errors alike. */
public enum Reason {
  /** The line allows no more of this kind now. */
  OVER_RATE,
  /** Its node of the quotas has had its share, and nobody has any to lend. */
  QUOTA,
  /** As many requests are in hand as may be. */
  TABLE_FULL,
  /** No upstream is ready. */
  NO_UPSTREAM,
  /** No upstream had room while the request could be held. */
  NO_ROOM,
  /** Its time is up. */
  DEADLINE,
  /** It has had all its attempts. */
  ATTEMPTS,
  /** Too many attempts are repeats just now. */
  RETRY_BUDGET,
  /** An attempt may have run, and no upstream may be given another. */
  MAY_HAVE_RUN,
  /** There were attempts that this process knows nothing of: they may have run. */
  UNKNOWN_EARLIER,
  /** A request with the same id is in hand. */
  IN_HAND,
  /** The record of requests has no room for one that may not be repeated at will. */
  RECORD_FULL,
  /** It can't be understood. */
  BAD_REQUEST,
  /** The process ends. */
  STOPPING;

  /** The word that records, figures and errors carry. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
