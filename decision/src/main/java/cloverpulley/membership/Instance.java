package cloverpulley.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/** What is known of one instance, and what is believed of it. */
final class Instance {

  /** Superseded lives that are remembered, so that an old record does not bring one back. */
  private static final int MOST_LIVES = 8;

  /** What one resolver's latest list says of it. */
  static final class Word {
    boolean listed;
    long listedAt = -1;
    /** Since when its list lacks what it, or the list held, named before; -1 where that is not so. */
    long absentSince = -1;
    /** The answer that lacked it would have taken away too much, or all. */
    boolean suspect;
    boolean empty;
    /** It has said that the present life drains, and not that it doesn't any more. */
    boolean drains;
    /** The identity that it said before, when that was the present one. */
    String said;
    /** It says another identity now. */
    boolean turned;
  }

  final String name;
  final String domain;
  final Word[] words;
  /** Identities that were and are no more, with when they ended. */
  private final LinkedHashMap<String, Long> lives = new LinkedHashMap<>();

  boolean believed;
  /** The one resolver by whose word alone it is believed; -1 where there are more. */
  int loneBy = -1;
  Incarnation now;
  long upSince;
  long firstHeardAt;
  /** When the present life was last named by anybody. */
  long incarnationNamedAt;
  /** It has left the list before. */
  boolean wasGone;

  boolean draining;
  long lastDrainWordAt;
  int drainBy = -1;
  boolean withdrawn;
  long withdrawnAt;
  long lastAbsentAt;
  int withdrawnBy = -1;
  boolean refused;
  /** When nobody named it any more; it is kept for a while so that what was said of it is not forgotten. */
  long goneAt = -1;
  long timerAt = Long.MAX_VALUE;

  /** Why it is as it is, and on whose word. */
  ChangeReason why;
  int onWord = -1;
  /** As the list has it; null where it is not on it. */
  Member shown;
  String addressKey;
  /** As it is counted among those that could serve. */
  int countedAble;
  int countedPriority;

  Instance(String name, String domain, int resolvers) {
    this.name = name;
    this.domain = domain;
    words = new Word[resolvers];
    for (int i = 0; i < resolvers; i++) {
      words[i] = new Word();
    }
  }

  void supersede(String identity, long at) {
    lives.put(identity, at);
    if (lives.size() > MOST_LIVES) {
      lives.remove(lives.keySet().iterator().next());
    }
  }

  /** When a life with this identity ended; -1 where none did. */
  long ended(String identity) {
    return lives.getOrDefault(identity, -1L);
  }

  void forgetEnd(String identity) {
    lives.remove(identity);
  }

  Map<String, Long> endedLives() {
    return lives;
  }

  boolean isListed() {
    for (Word w : words) {
      if (w.listed) {
        return true;
      }
    }
    return false;
  }

  void say(ChangeReason reason, int resolver) {
    why = reason;
    onWord = resolver;
  }
}
