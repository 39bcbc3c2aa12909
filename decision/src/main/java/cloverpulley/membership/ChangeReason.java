package cloverpulley.membership;

import java.util.Locale;

/** Why an instance is in its state; one vocabulary for change records, tools and reports. */
public enum ChangeReason {
  /** Listed by as many resolvers as are required. */
  CORROBORATED,
  /** Listed by one resolver alone, within the share that its weight allows. */
  LONE_VOICE,
  /** Listed by one resolver alone while all others have been unresponsive for long. */
  ONLY_VOICE,
  /** From the list cached over a restart; not yet confirmed by a resolver. */
  HELD_LIST,
  /** No longer listed by a resolver that listed it. */
  WITHDRAWN,
  /** Its withdrawal was overruled: a majority still lists it after every cache must have expired. */
  OVERRULED,
  /** Listed again by the resolver that withdrew it. */
  RETURNED,
  /** A TXT record reports that it is draining. */
  DRAINING,
  /** No resolver reports it as draining any more. */
  READY_AGAIN,
  /** Another server has taken its name. */
  SUCCEEDED,
  /** The same start at another address. */
  RENUMBERED,
  /** It refused connections and now accepts them: taken as a restart. */
  RESTARTED,
  /** Its records have changed, but not its identity. */
  CHANGED,
  /** In reserve: serves only if too few servers of a better priority can (RFC 2782). */
  RESERVE,
  /** The same address and port is known under another name. */
  DUPLICATE,
  /** All resolvers have been unresponsive for longer than a list may be stale. */
  STALE_LIMIT,
  /** Not accepted: listed by too few resolvers. */
  TOO_FEW_WITNESSES,
  /** Not accepted: an answer that would remove too much of the fleet needs a second witness. */
  SHRUNKEN_ANSWER,
  /** Not accepted: the answer is from a zone older than a known one. */
  OUTDATED_ZONE,
  /** Not usable: a service or address record is missing. */
  INCOMPLETE,
  /** Rejected: the maximum number of instances is reached. */
  TOO_MANY;

  /** The code written to change records and reports. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
