package cloverpulley.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the resolvers report about one instance, and the state derived from it. An instance is a name that DNS-SD lists; an incarnation is one
 * server process under that name ({@link Incarnation}). Times are in milliseconds on the reader's clock.
 */
final class Instance {

  /** Maximum number of past incarnations, which are kept so that a stale record does not restore one. */
  private static final int MAX_PAST_INCARNATIONS = 8;

  /** What one resolver last reported about it. */
  static final class Report {
    /** The resolver's list names this instance. */
    boolean listed;
    /** When it was last added to that list; -1 if never. */
    long listedAt = -1;
    /** Since when the resolver's list omits this instance, which it or the cached list had named; -1 otherwise. */
    long absentSince = -1;
    /**
     * The answer that omitted it would take the fleet below its minimum size ({@link Rules#floorShare}) or counts as empty ({@link #emptyAnswer}):
     * the absence takes effect once other resolvers omit it too.
     */
    boolean needsCorroboration;
    /**
     * That answer named no accepted instance other than those accepted on the report of its resolver alone, or a DNS push notification removed the
     * last name from the resolver's list.
     */
    boolean emptyAnswer;
    /** It reported the current incarnation as draining and has not reported otherwise since. */
    boolean reportsDraining;
    /** The identity of the current incarnation, if it reported that one. */
    String reportedIdentity;
    /** It has since reported another identity, which must be the later one. */
    boolean switched;
  }

  final String name;
  /** The domain whose list names it. */
  final String domain;
  /** By resolver. */
  final Report[] reports;
  /** Identities of replaced incarnations and when they ended. */
  private final LinkedHashMap<String, Long> pastIncarnations = new LinkedHashMap<>();

  /** It is accepted as a server: on the reports of enough resolvers, on that of {@link #soleResolver}, or from the list cached over a restart. */
  boolean accepted;
  /** The resolver on whose report alone it is accepted; -1 if it is corroborated. */
  int soleResolver = -1;
  /** Null until a complete set of records has been reported. */
  Incarnation current;
  /** When the current incarnation started; 0 if it may have been running before this reader started. */
  long upSince;
  /** When a resolver or the cached list first named it. */
  long firstSeenAt;
  /** When any resolver last reported the current incarnation or stopped reporting it; 0 if never. */
  long currentSeenAt;
  /** It was removed from the list before. */
  boolean wasRemoved;

  boolean draining;
  /** When the drain was last reported, or the end of it by a resolver that had reported it; 0 if never. */
  long lastDrainReportAt;
  /** The resolver that first reported the drain; -1 if none did. */
  int drainingResolver = -1;
  /**
   * It is accepted, but an absence from one resolver's list has taken effect. It is removed when no resolver lists it any more, and no longer
   * withdrawn if that resolver lists it again and the settling time has passed, or if a majority overrules it.
   */
  boolean withdrawn;
  /** When it was last withdrawn; 0 if never. */
  long withdrawnAt;
  /**
   * When a resolver last dropped it without need of corroboration, or it was last withdrawn; 0 if never. In contrast to {@link Report#absentSince}
   * it covers all resolvers and stays when the instance is listed again.
   */
  long lastAbsentAt;
  /** The resolver whose list omitted it; -1 if it is not withdrawn. */
  int withdrawingResolver = -1;
  /** The last connection probe failed. */
  boolean connectionRefused;
  /** When it was removed from the list, -1 if it was not; its state is kept for the longest TTL so that earlier reports still apply. */
  long removedAt = -1;
  /** When its next check is due; {@code Long.MAX_VALUE} for none. */
  long timerAt = Long.MAX_VALUE;

  /** Why it is in its state, and the resolver whose report decided; -1 for none. */
  ChangeReason reason;
  int reasonResolver = -1;
  /** Its entry on the published list; null if there is none. */
  Member published;
  /** Address and port under which it is indexed while it is accepted, to find instances that share them; null otherwise. */
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
