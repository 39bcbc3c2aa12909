package cloverpulley;

import java.util.Locale;

/** Why a request got a final answer that is not the response of an upstream: the same code in records, metrics and errors. */
public enum Reason {
  /** The admission rate of its class and tenant is used up. */
  OVER_RATE,
  /** The quota of its node in the quota tree is used up, and no other node can lend any. */
  QUOTA,
  /** The limit of requests in progress has been reached. */
  TABLE_FULL,
  /** No upstream is ready. */
  NO_UPSTREAM,
  /** No upstream had capacity while the request could be queued. */
  NO_ROOM,
  /** Its deadline has passed, or is too close for a further attempt. */
  DEADLINE,
  /** It has used all its attempts. */
  ATTEMPTS,
  /** The retry budget is used up. */
  RETRY_BUDGET,
  /** An attempt may have run, and a further one is not safe at any upstream. */
  MAY_HAVE_RUN,
  /** It had attempts that this process has no record of: they may have run. */
  UNKNOWN_EARLIER,
  /** A request with the same id is in progress. */
  IN_HAND,
  /** The table that recognises retries of a request is full, and this request must not run without a record there. */
  RECORD_FULL,
  /** It is malformed. */
  BAD_REQUEST,
  /** The process is shutting down. */
  STOPPING;

  /** The code in records, metrics and errors. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
