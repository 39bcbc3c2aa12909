package cloverpulley.quota;

import cloverpulley.quota.QuotaPlan.ChildTemplate;

/** State of one node: its tokens, what it has borrowed and what its children have borrowed. {@link Quotas} decides on it. */
final class Node {

  /** State per lane of a node that has tried to borrow. Borrowed units are per unit of weight. */
  static final class Borrower {
    final double[] borrowed;
    final double[] lentMark;
    final long[] lastAttemptAt;

    Borrower(int lanes) {
      borrowed = new double[lanes];
      lentMark = new double[lanes];
      lastAttemptAt = new long[lanes];
    }
  }

  /** What a node has lent to its children in one lane. */
  static final class Account {
    /** Units lent per unit of the children's total weight: the fair part of a child that borrowed none. */
    double lentPerWeight;
    /** Units borrowed per unit of weight by the child that has borrowed most. */
    double maxBorrowed;
  }

  final String path;
  final Node parent;
  final int depth;
  final double weight;
  final boolean configured;
  double[] guarantee;
  double[] ceiling;
  ChildTemplate childTemplate;
  final double[] tokens;
  long refilledAt;
  SlidingWindow[] windows;
  Borrower borrower;
  Account[] accounts;
  /** Number of existing children, configured and dynamic. */
  int childCount;
  int inFlight;
  /** Total weight of the configured children. */
  double configuredWeight;
  /** Units requested since the last {@link Quotas#takeDemand}; null for none and in dynamic nodes. */
  double[] demand;
  /** Whether it has been charged since its last snapshot. */
  boolean changed;
  /** Whether it has been looked up since the clock hand last passed it. */
  boolean referenced;
  /** Guarantee of each dynamic child; one array shared by all of them. */
  double[] childGuarantee;

  Node(String path, Node parent, double weight, boolean configured, double[] guarantee, double[] ceiling, ChildTemplate childTemplate, long now) {
    this.path = path;
    this.parent = parent;
    this.weight = weight;
    this.configured = configured;
    this.guarantee = guarantee;
    this.ceiling = ceiling;
    this.childTemplate = childTemplate;
    depth = parent == null ? 0 : parent.depth + 1;
    tokens = guarantee.clone();
    refilledAt = now;
  }
}
