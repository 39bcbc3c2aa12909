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
 * Checks whether requests and releases are linearizable: whether there is an order that agrees with the time and the reply of each, for a
 * limited number of slots. It uses the algorithm of Wing and Gong with Lowe's cache of visited states, as Porcupine does.
 */
final class Linearizable {

  private final List<Histories.Op> ops;
  private final int maxOut;
  private final Set<List<Object>> visited = new HashSet<>();

  private Linearizable(List<Histories.Op> all, int maxOut) {
    ops = new ArrayList<>(all);
    ops.sort(Comparator.comparingLong(Histories.Op::invoked));
    this.maxOut = maxOut;
  }

  static boolean check(List<Histories.Op> ops, int maxOut) {
    return new Linearizable(ops, maxOut).search(new BitSet(), new TreeSet<>());
  }

  private boolean search(BitSet done, TreeSet<String> out) {
    long earliestReturn = Long.MAX_VALUE;
    boolean pending = false;
    for (int i = done.nextClearBit(0); i < ops.size(); i = done.nextClearBit(i + 1)) {
      if (ops.get(i).returned() >= 0) {
        pending = true;
        earliestReturn = Math.min(earliestReturn, ops.get(i).returned());
      }
    }
    if (!pending) {
      return true; // A request without a reply may never have been executed.
    }
    if (!visited.add(List.of(done.clone(), Set.copyOf(out)))) {
      return false;
    }
    for (int i = done.nextClearBit(0); i < ops.size() && ops.get(i).invoked() <= earliestReturn; i = done.nextClearBit(i + 1)) {
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

  /** The members that are out after the operation; null if its reply is not possible in this state. */
  private TreeSet<String> apply(Histories.Op op, TreeSet<String> out) {
    TreeSet<String> after = new TreeSet<>(out);
    boolean isPossible;
    if (!op.isAsk()) {
      isPossible = after.remove(op.member());
    } else if (op.word() == null) {
      isPossible = out.size() < maxOut && after.add(op.member());
    } else if (op.word() == ResultCode.GRANTED || op.word() == ResultCode.SAME_AGAIN) {
      isPossible = out.size() < maxOut && after.add(op.member());
    } else if (op.word() == ResultCode.LIMIT) {
      isPossible = out.size() >= maxOut && !out.contains(op.member());
    } else {
      isPossible = op.word() == ResultCode.ALREADY_OUT && out.contains(op.member());
    }
    return isPossible ? after : null;
  }
}
