package cloverpulley.outs;

import java.util.Locale;

/** The result of a command. Replies, history and the command line use the same names. */
public enum ResultCode {
  DONE, GRANTED, WAITING, SAME_AGAIN, LIMIT, HALTED, UNKNOWN_MEMBER, UNKNOWN_GROUP, ALREADY_OUT, NOT_OUT, STILL_OUT, OLD_EPOCH, OLD_VERSION,
  NO_SUCH_HALT, TOO_MANY, EXPIRED, WITHDRAWN;

  /** The name in lower case, as it is printed and kept in the history. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
