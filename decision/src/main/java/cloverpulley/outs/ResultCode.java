package cloverpulley.outs;

import java.util.Locale;

/** Why a command was taken or not: the same words in replies, records and the operators' page. */
public enum ResultCode {
  DONE, GRANTED, WAITING, SAME_AGAIN, LIMIT, HALTED, UNKNOWN_MEMBER, UNKNOWN_GROUP, ALREADY_OUT, NOT_OUT, STILL_OUT, OLD_EPOCH, OLD_VERSION,
  NO_SUCH_HALT, TOO_MANY, EXPIRED, WITHDRAWN;

  /** As it is written. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
