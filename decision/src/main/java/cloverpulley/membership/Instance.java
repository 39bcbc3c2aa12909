package cloverpulley.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/** What the resolvers report about one instance, and the state derived from it. */
final class Instance {

  /** Bound on past incarnations, which are kept so that a stale record does not restore one. */
  private static final int MAX_PAST_INCARNATIONS = 8;

  /** What one resolver last reported about it. */
  static final class Report {
    boolean listed;
    long listedAt = -1;
    /** Since when the resolver's list omits this instance, which it or the cached list had named; -1 otherwise. */
    long absentSince = -1;
    /** The answer that omitted it would take the fleet below its floor, or counts as empty: other resolvers have to omit it too. */
    boolean needsCorroboration;
    /** That answer had no instance that is accepted independently of the resolver, or a push left its list without any. */
    boolean emptyAnswer;
    /** It reported the current incarnation as draining and has not reported otherwise since. */
    boolean reportsDraining;
    /** The identity of the current incarnation, if it reported that one. */
    String reportedIdentity;
    /** It has reported another identity since. */
    boolean switched;
  }

  final String name;
  final String domain;
  final Report[] reports;
  /** Identities of replaced incarnations and when they ended. */
  private final LinkedHashMap<String, Long> pastIncarnations = new LinkedHashMap<>();

  boolean accepted;
  /** The resolver on whose report alone it is accepted; -1 if it is corroborated. */
  int soleResolver = -1;
  Incarnation current;
  long upSince;
  long firstSeenAt;
  /** When any resolver last reported the current incarnation. */
  long currentSeenAt;
  /** It was removed from the list before. */
  boolean wasRemoved;

  boolean draining;
  long lastDrainReportAt;
  int drainingResolver = -1;
  boolean withdrawn;
  long withdrawnAt;
  long lastAbsentAt;
  int withdrawingResolver = -1;
  boolean connectionRefused;
  /** When it was removed from the list, -1 if it was not; its state is kept for the longest TTL so that earlier reports still apply. */
  long removedAt = -1;
  long timerAt = Long.MAX_VALUE;

  /** Why it is in its state, and the resolver whose report decided; -1 for none. */
  ChangeReason reason;
  int reasonResolver = -1;
  /** Its entry on the published list; null if there is none. */
  Member published;
  String addressKey;
  /** What it adds to the number of available servers of its priority, 0 or 1, and that priority. */
  int countedAvailable;
  int countedPriority;

  Instance(String name, String domain, int resolvers) {
    this.name = name;
    this.domain = domain;
    reports = new Report[resolvers];
    for (int i = 0; i < resolvers; i++) {
      reports[i] = new Report();
    }
  }

  void recordEnded(String identity, long at) {
    pastIncarnations.put(identity, at);
    if (pastIncarnations.size() > MAX_PAST_INCARNATIONS) {
      pastIncarnations.remove(pastIncarnations.keySet().iterator().next());
    }
  }

  /** When the incarnation with this identity ended; -1 if none did. */
  long endedAt(String identity) {
    return pastIncarnations.getOrDefault(identity, -1L);
  }

  void removeEnded(String identity) {
    pastIncarnations.remove(identity);
  }

  Map<String, Long> endedIncarnations() {
    return pastIncarnations;
  }

  boolean isListed() {
    for (Report r : reports) {
      if (r.listed) {
        return true;
      }
    }
    return false;
  }

  void setReason(ChangeReason newReason, int resolver) {
    reason = newReason;
    reasonResolver = resolver;
  }
}
