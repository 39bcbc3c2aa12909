package cloverpulley.quota;

import cloverpulley.quota.QuotaPlan.ChildTemplate;

/** One node's state: what it holds, what it was lent, what its children were lent. The decisions on it are {@link Quotas}'. */
final class Node {

  /** What only those who borrow have. */
  static final class Loans {
    final double[] had;
    final double[] since;
    final long[] tried;

    Loans(int lanes) {
      had = new double[lanes];
      since = new double[lanes];
      tried = new long[lanes];
    }
  }

  /** What a node's children were lent in one lane. */
  static final class Account {
    /** For each unit of all known children's weight: the fair part of whoever had none of it. */
    double lent;
    /** What the one that has had most for its weight has had. */
    double most;
  }

  final String path;
  final Node parent;
  final int depth;
  final double weight;
  final boolean named;
  double[] guarantee;
  double[] ceiling;
  ChildTemplate childTemplate;
  final double[] tokens;
  long filledAt;
  Ceiling[] ceilings;
  Loans loans;
  Account[] accounts;
  /** Nodes below it that are kept. */
  int children;
  int inFlight;
  /** Of the children that the plan names. */
  double namedWeight;
  /** Units asked for since somebody asked for that; null for none, and in nodes that are not named. */
  double[] asked;
  /** Whether anything has been charged to it since it was last kept. */
  boolean charged;
  /** Whether it has asked since the hand last passed. */
  boolean recent;
  /** What each unnamed child is guaranteed: one array for all of them. */
  double[] childGuarantee;

  Node(String path, Node parent, double weight, boolean named, double[] guarantee, double[] ceiling, ChildTemplate childTemplate, long now) {
    this.path = path;
    this.parent = parent;
    this.weight = weight;
    this.named = named;
    this.guarantee = guarantee;
    this.ceiling = ceiling;
    this.childTemplate = childTemplate;
    depth = parent == null ? 0 : parent.depth + 1;
    tokens = guarantee.clone();
    filledAt = now;
  }
}
