package cloverpulley.outs;

import java.util.List;

/**
 * The result of a command.
 *
 * @param word the result code
 * @param binding the group whose limit rejects the request, or the name of the halt; empty for none
 * @param holders members that use the slots of that group, a few of them
 * @param epoch the permit's epoch, 0 without a permit
 * @param index the log index at which the command was decided
 */
public record Reply(ResultCode word, String binding, List<String> holders, long epoch, long index) {

  /** Whether the command succeeded or its permit is still held. */
  public boolean isSuccess() {
    return word == ResultCode.DONE || word == ResultCode.GRANTED || word == ResultCode.SAME_AGAIN;
  }
}
