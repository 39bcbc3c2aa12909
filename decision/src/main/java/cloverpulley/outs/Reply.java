package cloverpulley.outs;

import java.util.List;

/**
 * What became of a command.
 *
 * @param word why
 * @param binding the group whose limit says no, or the halt's name; empty for none
 * @param holders who holds that group's places, a few of them
 * @param epoch of the permit, where one is held; else 0
 * @param index the ledger's, at which this was decided
 */
public record Reply(ResultCode word, String binding, List<String> holders, long epoch, long index) {

  /** Whether what was asked for holds. */
  public boolean isSuccess() {
    return word == ResultCode.DONE || word == ResultCode.GRANTED || word == ResultCode.SAME_AGAIN;
  }
}
