package cloverpulley.dns;

import cloverpulley.Reason;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counters since the start, owned by the event loop. They are printed under their field names. */
final class DnsCounts {

  long queries;
  long answers;
  /** Answers from the cache, from local zones, from a server, and stale ones past their TTL. */
  long cached;
  long own;
  long served;
  long stale;
  /** Queries forwarded, and queries that joined an in-flight query for the same question. */
  long flights;
  long joined;
  long prefetched;
  /** Messages answered with FORMERR, and messages that are no queries and get no answer. */
  long malformed;
  long silent;
  /** Queries past a prefix's rate: answered truncated, and dropped. */
  long slipped;
  long dropped;
  /** Duplicate UPDATEs and NOTIFYs retransmitted by clients. */
  long repeated;
  /** Responses rejected because they have records for names that were not queried. */
  long poisoned;
  /** Connections refused, or closed because of a limit. */
  long turnedAway;
  final Map<Reason, Long> ended = new EnumMap<>(Reason.class);

  void end(Reason reason) {
    ended.merge(reason, 1L, Long::sum);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("queries=" + queries + " answers=" + answers + " cached=" + cached + " own=" + own
        + " served=" + served + " stale=" + stale + " flights=" + flights + " joined=" + joined + " prefetched=" + prefetched + " malformed=" + malformed
        + " silent=" + silent + " slipped=" + slipped + " dropped=" + dropped + " repeated=" + repeated + " poisoned=" + poisoned
        + " turned_away=" + turnedAway);
    ended.forEach((reason, n) -> text.append(' ').append(reason.name().toLowerCase(Locale.ROOT)).append('=').append(n));
    return text.toString();
  }
}
