package cloverpulley.quota;

import java.util.List;

/** The accounts of what was lent: who is how far ahead of its siblings, and what who lent is to be paid back. */
final class Lending {

  /** A borrower that has not asked for so long lends again. */
  static final long ASKING_NANOS = 1_000_000_000L;
  /** What is paid back, and how far behind one may be, is bounded: so many seconds of the lender's rate for each unit of weight. */
  private static final double REPAID_SECONDS = 3;
  /** But so many requests such as the present one at least: less would be the chance of who comes first. */
  private static final double REPAID_REQUESTS = 16;
  private static final double SECOND = 1e9;

  private final List<Lane> lanes;

  Lending(List<Lane> lanes) {
    this.lanes = lanes;
  }

  Node.Loans loans(Node n, long now) {
    if (n.loans == null) {
      n.loans = new Node.Loans(lanes.size());
      for (int i = 0; i < lanes.size() && n.parent != null; i++) {
        // One that is in the plan lent from the beginning on; one that was made for a stranger did not.
        n.loans.since[i] = n.named ? 0 : account(n.parent, i).lent;
        n.loans.tried[i] = now - 2 * ASKING_NANOS;
      }
    }
    return n.loans;
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

  /** How far ahead of its siblings a child is that asks now: 0 for as far behind as counts, 1 for nobody before it. */
  double ahead(Node child, int lane, double x, long now) {
    Node.Account a = account(child.parent, lane);
    Node.Loans l = loans(child, now);
    double most = Math.max(repaid(child.parent, lane), REPAID_REQUESTS * x / child.weight);
    double behind = now - l.tried[lane] > ASKING_NANOS ? Math.min(most, Math.max(0, a.lent - l.since[lane])) : most;
    l.had[lane] = Math.max(l.had[lane], a.most - behind);
    l.tried[lane] = now;
    l.since[lane] = a.lent;
    return Math.min(1, Math.max(0, 1 - (a.most - l.had[lane]) / most));
  }

  /** The most that anybody below a node is behind, for each unit of its weight. */
  double repaid(Node parent, int lane) {
    Node n = parent;
    while (n.guarantee[lane] <= 0 && n.parent != null) {
      n = n.parent;
    }
    return REPAID_SECONDS * rate(n, lane) / weightBelow(parent);
  }

  double rate(Node n, int lane) {
    return lanes.get(lane).isLevel() ? n.guarantee[lane] : n.guarantee[lane] * SECOND / lanes.get(lane).windowNanos();
  }

  /** What a child that does not borrow is to be paid back, for each unit of its weight. */
  double credit(Node child, int lane, long now) {
    if (child.parent == null || child.parent.accounts == null || child.parent.accounts[lane] == null || child.loans == null
        || now - child.loans.tried[lane] <= ASKING_NANOS) {
      return 0;
    }
    return Math.max(0, Math.min(repaid(child.parent, lane), child.parent.accounts[lane].lent - child.loans.since[lane]));
  }

  void borrowed(Node child, int lane, double x, long now) {
    Node.Account a = account(child.parent, lane);
    Node.Loans l = loans(child, now);
    l.had[lane] += x / child.weight;
    a.most = Math.max(a.most, l.had[lane]);
    a.lent += x / weightBelow(child.parent);
  }

  /** The weight of all that may claim a part: those in the plan, or those that are kept where it names none. */
  double weightBelow(Node n) {
    return n.childTemplate == null ? Math.max(n.namedWeight, 1e-9) : Math.max(n.namedWeight, n.children * n.childTemplate.weight());
  }
}
