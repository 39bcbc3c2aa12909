package cloverpulley.outs;

import java.util.List;
import java.util.Map;

/** What the ledger is told; all are taken in one order by all that hold it. */
public sealed interface Command {

  /** Longest name or reason. */
  int MAX_TEXT_LENGTH = 256;
  /** Most groups of one member. */
  int MAX_GROUPS = 32;

  /**
   * Guards all voters at once: what is taken into the log is applied by each of them, and what one can't apply none can. So a command that
   * is not whole can't be made, from whatever text.
   */
  private static void check(String... texts) {
    for (String text : texts) {
      if (text == null || text.length() > MAX_TEXT_LENGTH) {
        throw new IllegalArgumentException("expected a text of " + MAX_TEXT_LENGTH + " characters at most, got "
            + (text == null ? "nothing" : text.length()));
      }
    }
  }

  private static void named(String... names) {
    check(names);
    for (String name : names) {
      if (name.isEmpty()) {
        throw new IllegalArgumentException("expected a name, got an empty text");
      }
    }
  }

  /**
   * The limits by group, whole, with the rest of the rules.
   *
   * @param version a lower one than the ledger's is not taken
   * @param words how many observers have to agree on an upstream's health before it counts, 1 or more
   * @param freshMillis how long an observer's word is good
   * @param deadPart the part of all members of a kind beyond which unwell ones halt all grants by themselves; 1 for never
   * @param refusedPart an instance is pressed that refuses so great a part of its requests; most of them pressed halt all grants; 1 for never
   */
  record Rules(long version, Map<String, Limit> groups, int words, long freshMillis, double deadPart, double refusedPart)
      implements Command {

    /** Checks that the figures make sense. */
    public Rules {
      if (groups == null || groups.size() > MAX_GROUPS * MAX_GROUPS) {
        throw new IllegalArgumentException("expected limits by group, " + MAX_GROUPS * MAX_GROUPS + " at most");
      }
      groups = Map.copyOf(groups);
      named(groups.keySet().toArray(String[]::new));
      if (words < 1 || freshMillis < 1 || !(deadPart > 0 && deadPart <= 1) || !(refusedPart > 0 && refusedPart <= 1)) {
        throw new IllegalArgumentException("expected words and freshMillis above 0, deadPart and refusedPart above 0, at most 1");
      }
    }
  }

  /** A member there is, or what it belongs to now. */
  record Enrol(String member, MemberKind kind, List<String> groups) implements Command {

    /** Groups are kept as told, each once. */
    public Enrol {
      named(member);
      if (kind == null || groups == null || groups.size() > MAX_GROUPS) {
        throw new IllegalArgumentException("expected a kind and " + MAX_GROUPS + " groups at most");
      }
      named(groups.toArray(String[]::new));
      groups = groups.stream().distinct().sorted().toList();
    }
  }

  /** A member that is no more; not while it is out. */
  record Strike(String member) implements Command {

    /** Checks that it is whole. */
    public Strike {
      named(member);
    }
  }

  /**
   * Somebody wants a member out.
   *
   * @param ask its own name: the same one again is answered as before
   * @param waitMillis how long it may wait for its turn; 0: now or not
   * @param force whatever the limits and halts say; recorded as such
   */
  record Ask(String ask, String member, String by, String why, long waitMillis, boolean force) implements Command {

    /** Checks that it is whole. */
    public Ask {
      named(ask, member, by);
      check(why);
      if (waitMillis < 0) {
        throw new IllegalArgumentException("expected waitMillis of 0 or more, got " + waitMillis);
      }
      waitMillis = Math.min(waitMillis, Long.MAX_VALUE / 4);
    }
  }

  /** An ask that waits is not wanted any more, or one that was granted has not been used. */
  record Withdraw(String ask) implements Command {

    /** Checks that it is whole. */
    public Withdraw {
      named(ask);
    }
  }

  /** The holder says that it has left; {@code epoch} is that of its permit. */
  record Left(String member, long epoch) implements Command {

    /** Checks that it is whole. */
    public Left {
      named(member);
    }
  }

  /**
   * A member comes back, or did already; {@code epoch} is that of its permit. Guards the next holder: a word that comes late, out of a paused
   * process or sent again, must not end a permit that it does not speak of.
   */
  record Return(String member, String by, long epoch) implements Command {

    /** Checks that it is whole. */
    public Return {
      named(member, by);
    }
  }

  /**
   * An observer's word on a member.
   *
   * @param at the ledger's index that the observer knew of when it saw this: a word is no news of what came after
   */
  record Seen(String observer, String member, Health health, long at) implements Command {

    /** Checks that it is whole. */
    public Seen {
      named(observer, member);
      if (health == null) {
        throw new IllegalArgumentException("expected a health, got nothing");
      }
    }
  }

  /** No more grants until this halt is lifted by its name. */
  record Halt(String name, String by, String why) implements Command {

    /** Checks that it is whole. */
    public Halt {
      named(name, by);
      check(why);
    }
  }

  /** Lifts one halt. */
  record Resume(String name, String by) implements Command {

    /** Checks that it is whole. */
    public Resume {
      named(name, by);
    }
  }

  /** All that is out of a group comes back, a few at a time; empty: all there is. */
  record Back(String group, String by) implements Command {

    /** Checks that it is whole. */
    public Back {
      check(group);
      named(by);
    }
  }

  /** Time has passed. */
  record Tick() implements Command {}
}
