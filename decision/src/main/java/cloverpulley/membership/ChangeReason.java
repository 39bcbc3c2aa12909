package cloverpulley.membership;

import java.util.Locale;

/** Why something is believed, or not: the one list of words for records, tools and pages. */
public enum ChangeReason {
  /** As many resolvers as have to name it do. */
  CORROBORATED,
  /** One resolver alone names it, within the part that its weight gives it. */
  LONE_VOICE,
  /** One resolver alone names it, and no other has said anything for long. */
  ONLY_VOICE,
  /** From the list held over a restart; nobody has spoken of it yet. */
  HELD_LIST,
  /** A resolver that named it names it no more. */
  WITHDRAWN,
  /** Its withdrawal was overruled by a majority that still names it past every cache's life. */
  OVERRULED,
  /** Named again by who had withdrawn it. */
  RETURNED,
  /** A text record says that it drains. */
  DRAINING,
  /** Nobody says any more that it drains. */
  READY_AGAIN,
  /** Another server has taken its name. */
  SUCCEEDED,
  /** The same start at another address. */
  RENUMBERED,
  /** It refused connections, and takes them again: started anew. */
  RESTARTED,
  /** Its records have changed in what does not make it another server. */
  CHANGED,
  /** Waits until better ones can't serve (RFC 2782, priority). */
  RESERVE,
  /** The same address and port is known under another name. */
  DUPLICATE,
  /** Nobody has spoken of it for longer than a list may be stale. */
  STALE_LIMIT,
  /** Not believed: too few name it. */
  TOO_FEW_WITNESSES,
  /** Not believed: an answer that would take away too much of the fleet needs a second witness. */
  SHRUNKEN_ANSWER,
  /** Not believed: the zone is older than one that is known. */
  OUTDATED_ZONE,
  /** Not usable: a service or address record is missing. */
  INCOMPLETE,
  /** Not taken: as many instances as there may be are known. */
  TOO_MANY;

  /** As records and pages write it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
