package cloverpulley.agree;

import cloverpulley.outs.ResultCode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Whether asks and releases, as seen from outside, can be put in one order that fits the time of each and what each was told (the method of
 * Wing and Gong with Lowe's memory of states, as Porcupine has it), for places of which so many may be taken.
 */
final class Linearizable {

  private final List<Histories.Op> ops;
  private final int most;
  private final Set<List<Object>> been = new HashSet<>();

  private Linearizable(List<Histories.Op> all, int most) {
    ops = new ArrayList<>(all);
    ops.sort(Comparator.comparingLong(Histories.Op::invoked));
    this.most = most;
  }

  static boolean check(List<Histories.Op> ops, int most) {
    return new Linearizable(ops, most).search(new BitSet(), new TreeSet<>());
  }

  private boolean search(BitSet done, TreeSet<String> out) {
    long soonest = Long.MAX_VALUE;
    boolean left = false;
    for (int i = done.nextClearBit(0); i < ops.size(); i = done.nextClearBit(i + 1)) {
      if (ops.get(i).returned() >= 0) {
        left = true;
        soonest = Math.min(soonest, ops.get(i).returned());
      }
    }
    if (!left) {
      return true; // What had no answer may never have happened.
    }
    if (!been.add(List.of(done.clone(), Set.copyOf(out)))) {
      return false;
    }
    for (int i = done.nextClearBit(0); i < ops.size() && ops.get(i).invoked() <= soonest; i = done.nextClearBit(i + 1)) {
      TreeSet<String> after = apply(ops.get(i), out);
      if (after != null) {
        done.set(i);
        if (search(done, after)) {
          return true;
        }
        done.clear(i);
      }
    }
    return false;
  }

  /** The places after it; null where it can't have been told that. */
  private TreeSet<String> apply(Histories.Op op, TreeSet<String> out) {
    TreeSet<String> after = new TreeSet<>(out);
    boolean fits;
    if (!op.isAsk()) {
      fits = after.remove(op.member());
    } else if (op.word() == null) {
      fits = out.size() < most && after.add(op.member());
    } else if (op.word() == ResultCode.GRANTED || op.word() == ResultCode.SAME_AGAIN) {
      fits = out.size() < most && after.add(op.member());
    } else if (op.word() == ResultCode.LIMIT) {
      fits = out.size() >= most && !out.contains(op.member());
    } else {
      fits = op.word() == ResultCode.ALREADY_OUT && out.contains(op.member());
    }
    return fits ? after : null;
  }
}
