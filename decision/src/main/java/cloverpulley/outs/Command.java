package cloverpulley.outs;

import java.util.List;
import java.util.Map;

/** A command of the ledger. Commands are replicated in the Raft log and applied in the same order by all voters. */
public sealed interface Command {

  /** Maximum length of a name or reason, in characters. */
  int MAX_TEXT_LENGTH = 256;
  /** Maximum number of groups of a member. */
  int MAX_GROUPS = 32;

  /**
   * Commands are validated when they are constructed, also when they are parsed. A command in the log that fails to apply would fail on every
   * voter, so an invalid one must never get there.
   */
  private static void requireText(String... texts) {
    for (String text : texts) {
      if (text == null || text.length() > MAX_TEXT_LENGTH) {
        throw new IllegalArgumentException("expected a text of " + MAX_TEXT_LENGTH + " characters at most, got "
            + (text == null ? "nothing" : text.length()));
      }
    }
  }

  private static void requireNames(String... names) {
    requireText(names);
    for (String name : names) {
      if (name.isEmpty()) {
        throw new IllegalArgumentException("expected a name, got an empty text");
      }
    }
  }

  /**
   * Replaces the limits of all groups and the other rules.
   *
   * @param version rules with a lower version than the ledger's are ignored
   * @param words how many observers must agree before an upstream's health changes, 1 or more
   * @param freshMillis how long a health report is valid
   * @param deadPart ratio of unwell members of a kind above which grants are halted automatically; 1 for never
   * @param refusedPart ratio of rejected requests from which an instance counts as overloaded; most instances being so halts all grants;
   *     1 for never
   */
  record Rules(long version, Map<String, Limit> groups, int words, long freshMillis, double deadPart, double refusedPart)
      implements Command {

    /** Validates the values. */
    public Rules {
      if (groups == null || groups.size() > MAX_GROUPS * MAX_GROUPS) {
        throw new IllegalArgumentException("expected limits by group, " + MAX_GROUPS * MAX_GROUPS + " at most");
      }
      groups = Map.copyOf(groups);
      requireNames(groups.keySet().toArray(String[]::new));
      if (words < 1 || freshMillis < 1 || !(deadPart > 0 && deadPart <= 1) || !(refusedPart > 0 && refusedPart <= 1)) {
        throw new IllegalArgumentException("expected words and freshMillis above 0, deadPart and refusedPart above 0, at most 1");
      }
    }
  }

  /** Adds a member or changes its groups. */
  record Enrol(String member, MemberKind kind, List<String> groups) implements Command {

    /** Validates the values; sorts the groups and removes duplicates. */
    public Enrol {
      requireNames(member);
      if (kind == null || groups == null || groups.size() > MAX_GROUPS) {
        throw new IllegalArgumentException("expected a kind and " + MAX_GROUPS + " groups at most");
      }
      requireNames(groups.toArray(String[]::new));
      groups = groups.stream().distinct().sorted().toList();
    }
  }

  /** Removes a member; rejected while it holds a permit. */
  record Strike(String member) implements Command {

    /** Validates the values. */
    public Strike {
      requireNames(member);
    }
  }

  /**
   * Requests a permit for a member to be out of service.
   *
   * @param ask unique name of the request; a repeated request with the same name is answered as before
   * @param waitMillis how long the request may be queued; 0 to be granted or rejected immediately
   * @param force overrides limits and halts; recorded in the permit and the history
   */
  record Ask(String ask, String member, String by, String why, long waitMillis, boolean force) implements Command {

    /** Validates the values. */
    public Ask {
      requireNames(ask, member, by);
      requireText(why);
      if (waitMillis < 0) {
        throw new IllegalArgumentException("expected waitMillis of 0 or more, got " + waitMillis);
      }
      waitMillis = Math.min(waitMillis, Long.MAX_VALUE / 4);
    }
  }

  /** Cancels a queued request, or gives back a permit that was not used. */
  record Withdraw(String ask) implements Command {

    /** Validates the values. */
    public Withdraw {
      requireNames(ask);
    }
  }

  /** The member has left service; {@code epoch} is that of its permit. */
  record Left(String member, long epoch) implements Command {

    /** Validates the values. */
    public Left {
      requireNames(member);
    }
  }

  /**
   * The member is returning or has returned; {@code epoch} is that of its permit. Without the epoch a late command, from a paused process or a
   * retry, would end the member's next permit.
   */
  record Return(String member, String by, long epoch) implements Command {

    /** Validates the values. */
    public Return {
      requireNames(member, by);
    }
  }

  /**
   * An observer's health report about a member.
   *
   * @param at the log index that the observer had applied at the time; the report says nothing about later changes
   */
  record Seen(String observer, String member, Health health, long at) implements Command {

    /** Validates the values. */
    public Seen {
      requireNames(observer, member);
      if (health == null) {
        throw new IllegalArgumentException("expected a health, got nothing");
      }
    }
  }

  /** Stops all grants until the halt is lifted by its name. */
  record Halt(String name, String by, String why) implements Command {

    /** Validates the values. */
    public Halt {
      requireNames(name, by);
      requireText(why);
    }
  }

  /** Lifts one halt. */
  record Resume(String name, String by) implements Command {

    /** Validates the values. */
    public Resume {
      requireNames(name, by);
    }
  }

  /** Returns all members of a group that are out, a few at a time; an empty group stands for all members. */
  record Back(String group, String by) implements Command {

    /** Validates the values. */
    public Back {
      requireText(group);
      requireNames(by);
    }
  }

  /** Advances the ledger's time and has no other effect. */
  record Tick() implements Command {}
}
