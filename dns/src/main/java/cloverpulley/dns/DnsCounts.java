package cloverpulley.dns;

import cloverpulley.Reason;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** What the front has done since its start; owned by its loop. */
final class DnsCounts {

  long queries;
  long answers;
  /** From the cache, from zones of our own, from a server, after the TTL. */
  long cached;
  long own;
  long served;
  long stale;
  /** Questions sent on their way, and those that joined one under way for the same. */
  long flights;
  long joined;
  long prefetched;
  /** Answered FORMERR; not answered at all, being no query. */
  long malformed;
  long silent;
  /** Past a prefix's rate: short answers, and none. */
  long slipped;
  long dropped;
  /** An UPDATE or NOTIFY that a client sent again. */
  long repeated;
  /** A server's answer with records of names that nobody asked for. */
  long poisoned;
  /** Connections turned away or closed for what they did. */
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
