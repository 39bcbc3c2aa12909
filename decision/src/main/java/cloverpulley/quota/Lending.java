package cloverpulley.quota;

import java.util.List;

/** Accounts of borrowed tokens: the lead of a borrower over its siblings, and the credit of a node that lent its idle share. */
final class Lending {

  /** A child that has not tried to borrow for this long counts as a lender. */
  static final long BORROWER_TIMEOUT_NANOS = 1_000_000_000L;
  /** Bound of lag and credit per unit of weight, in seconds of the lender's rate. */
  private static final double MAX_LAG_SECONDS = 3;
  /** The bound of lag is at least this many requests of the current size: with less, arrival order would decide who is served. */
  private static final double MIN_LAG_REQUESTS = 16;
  private static final double SECOND = 1e9;

  private final List<Lane> lanes;

  Lending(List<Lane> lanes) {
    this.lanes = lanes;
  }

  Node.Borrower borrower(Node n, long now) {
    if (n.borrower == null) {
      n.borrower = new Node.Borrower(lanes.size());
      for (int i = 0; i < lanes.size() && n.parent != null; i++) {
        // A configured node has been lending from the start; a dynamic node from its creation.
        n.borrower.lentMark[i] = n.configured ? 0 : account(n.parent, i).lentPerWeight;
        n.borrower.lastAttemptAt[i] = now - 2 * BORROWER_TIMEOUT_NANOS;
      }
    }
    return n.borrower;
  }

  Node.Account account(Node n, int lane) {
    if (n.accounts == null) {
      n.accounts = new Node.Account[lanes.size()];
    }
    if (n.accounts[lane] == null) {
      n.accounts[lane] = new Node.Account();
    }
    return n.accounts[lane];
  }

  /**
   * Records that a child tries to borrow and returns its lead: 0 at the bound of lag, 1 where no sibling has borrowed more per unit of
   * weight.
   */
  double lead(Node child, int lane, double units, long now) {
    Node.Account a = account(child.parent, lane);
    Node.Borrower b = borrower(child, now);
    double bound = Math.max(maxLag(child.parent, lane), MIN_LAG_REQUESTS * units / child.weight);
    double lag = now - b.lastAttemptAt[lane] > BORROWER_TIMEOUT_NANOS ? Math.min(bound, Math.max(0, a.lentPerWeight - b.lentMark[lane])) : bound;
    b.borrowed[lane] = Math.max(b.borrowed[lane], a.maxBorrowed - lag);
    b.lastAttemptAt[lane] = now;
    b.lentMark[lane] = a.lentPerWeight;
    return Math.min(1, Math.max(0, 1 - (a.maxBorrowed - b.borrowed[lane]) / bound));
  }

  /** Returns the bound of lag of a node's children, per unit of weight. */
  double maxLag(Node parent, int lane) {
    Node n = parent;
    while (n.guarantee[lane] <= 0 && n.parent != null) {
      n = n.parent;
    }
    return MAX_LAG_SECONDS * rate(n, lane) / totalChildWeight(parent);
  }

  double rate(Node n, int lane) {
    return lanes.get(lane).isConcurrency() ? n.guarantee[lane] : n.guarantee[lane] * SECOND / lanes.get(lane).windowNanos();
  }

  /** Returns what a child that does not borrow is to be paid back, per unit of weight. */
  double credit(Node child, int lane, long now) {
    if (child.parent == null || child.parent.accounts == null || child.parent.accounts[lane] == null || child.borrower == null
        || now - child.borrower.lastAttemptAt[lane] <= BORROWER_TIMEOUT_NANOS) {
      return 0;
    }
    return Math.max(0, Math.min(maxLag(child.parent, lane), child.parent.accounts[lane].lentPerWeight - child.borrower.lentMark[lane]));
  }

  void recordBorrowing(Node child, int lane, double units, long now) {
    Node.Account a = account(child.parent, lane);
    Node.Borrower b = borrower(child, now);
    b.borrowed[lane] += units / child.weight;
    a.maxBorrowed = Math.max(a.maxBorrowed, b.borrowed[lane]);
    a.lentPerWeight += units / totalChildWeight(child.parent);
  }

  /** Returns the total weight of the children: the configured ones, or with a template at least that of all existing children. */
  double totalChildWeight(Node n) {
    return n.childTemplate == null ? Math.max(n.configuredWeight, 1e-9) : Math.max(n.configuredWeight, n.childCount * n.childTemplate.weight());
  }
}
