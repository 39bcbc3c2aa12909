package cloverpulley.quota;

import cloverpulley.quota.QuotaPlan.NodeSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Decides which requests are within quota, over a tree of nodes ({@link QuotaPlan}). Each node has a token bucket in each lane, refilled at
 * the node's guarantee.
 *
 * <ul>
 * <li>A request whose node has enough tokens is granted regardless of other nodes: a guarantee never waits for a borrower. Its cost is
 *     charged to the node and to all its ancestors, whose balance may become negative down to a bound.
 * <li>Otherwise it borrows from the nearest ancestor that has enough tokens. These are idle share, because ancestors are charged for all
 *     use below them. Siblings' idle share is used before that of other subtrees.
 * <li>Each child has an account of what it has borrowed per unit of weight. The further a child is ahead of its siblings, the fuller the
 *     lender has to be before it lends to it: the child that has borrowed least is served down to the last token, the one that has borrowed
 *     most only while the lender is at least half full. Idle share is therefore divided by weight, not by request rate, and none is left
 *     unused. This is start-time fair queueing (Goyal, Vin and Cheng 1996) with the token level in place of the queue.
 * <li>A child that borrows again after a time of lending starts behind the current borrowers by its fair part of what was lent meanwhile,
 *     up to a bound. It is paid back this way out of idle share alone, never out of a guarantee.
 * </ul>
 *
 * A decision takes time proportional to the depth of the tree. Dynamic nodes without state are evicted. Not thread-safe.
 */
public final class Quotas {

  /** Fill ratio that a lender needs to lend to the child that is furthest ahead. */
  private static final double RESERVE_RATIO = 0.5;
  /** The same for concurrency. The reserve is never used there, so it is small. */
  private static final double CONCURRENCY_RESERVE_RATIO = 0.02;
  /** Weight of the lead at the level below in the lead at the next level. */
  private static final double LOWER_LEVEL_WEIGHT = 0.125;
  /** A node charged for the guaranteed use of its descendants may have a negative balance of at most this many windows. */
  private static final double MAX_DEBT_WINDOWS = 1;
  /** A single request is charged at most this many times the root's guarantee, because its cost hint may be wrong. */
  private static final double MAX_COST_RATIO = 60;
  private static final int SWEEP_STEPS = 2;
  private static final int BITS_PER_LANE = 4;
  /** Set in the result of a rejected request; the bits below hold the lane that rejected it and whether a ceiling did. */
  private static final long REJECTED = 1L << 62;

  /** State of a node for display. Lag and credit are per unit of weight; see {@link NodeSnapshot}. */
  public record NodeStatus(String path, double[] tokens, double[] guarantee, int inFlight, double[] lag, double[] credit) {}

  private QuotaPlan plan;
  private List<Lane> lanes;
  private final int maxDynamicNodes;
  private final Map<String, Node> nodes = new HashMap<>();
  /** Dynamic nodes in CLOCK order (second chance): a node referenced since the hand last passed it is not evicted. */
  private final ArrayList<Node> clockRing = new ArrayList<>();
  private int clockHand;
  private Node root;
  private Lending lending;
  private final List<Node> changedNodes = new ArrayList<>();
  /** Whether changed nodes are recorded; set by the first call of {@link #snapshotChanged}. */
  private boolean tracksChanges;
  /** Whether demand is recorded; set by the first call of {@link #takeDemand}. */
  private boolean tracksDemand;
  private long now;
  private long retryAt;

  /** @param maxDynamicNodes limit of dynamic nodes; beyond it a request is decided at its nearest existing ancestor */
  public Quotas(QuotaPlan plan, int maxDynamicNodes, long now) {
    this.maxDynamicNodes = maxDynamicNodes;
    this.now = now;
    updatePlan(plan, now);
  }

  /**
   * Replaces the plan. Nodes that remain keep their usage, lag, credit and requests in flight; removed nodes leave those in flight to the
   * nearest remaining ancestor.
   */
  public void updatePlan(QuotaPlan next, long at) {
    if (plan != null && !next.lanes().equals(lanes)) {
      throw new IllegalArgumentException("quota: the lanes can't be changed at runtime");
    }
    now = Math.max(now, at);
    lanes = next.lanes();
    lending = lending == null ? new Lending(lanes) : lending;
    Map<String, Node> previous = new HashMap<>(nodes);
    plan = next;
    if (!previous.isEmpty()) {
      previous.values().forEach(this::refill);
    }
    nodes.clear();
    clockRing.clear();
    clockHand = 0;
    root = null;
    for (NodeSpec s : next.nodes().values()) {
      Node parent = s.path().isEmpty() ? null : nodes.get(QuotaPlan.parent(s.path()));
      Node n = new Node(s.path(), parent, s.weight(), true, s.guarantee(), s.ceiling(), s.childTemplate(), now);
      root = parent == null ? n : root;
      nodes.put(s.path(), n);
      Node old = previous.get(s.path());
      if (parent != null) {
        parent.childCount++;
        parent.configuredWeight += s.weight();
      }
      if (old != null) {
        copyState(old, n);
      }
    }
    for (Node old : previous.values()) {
      Node parent = old.configured ? null : nodes.get(QuotaPlan.parent(old.path));
      if (parent != null && parent.childTemplate != null && !nodes.containsKey(old.path)) {
        copyState(old, createDynamicNode(parent, old.path));
      }
    }
    for (Node old : previous.values()) {
      if (!nodes.containsKey(old.path)) {
        // The requests in flight of a removed node are released later; its nearest ancestor counts them.
        Node ancestor = nearestNode(old.path);
        if (old.inFlight > 0 && ancestor.inFlight < old.inFlight) {
          ancestor.inFlight = Math.max(ancestor.inFlight, old.inFlight);
        }
      }
    }
  }

  /** Copies a node's state. Usage carries over, but a smaller guarantee does not turn earlier use of a larger one into debt beyond the bound. */
  private void copyState(Node old, Node n) {
    n.refilledAt = old.refilledAt;
    n.inFlight = old.inFlight;
    n.windows = old.windows;
    for (int i = 0; i < lanes.size(); i++) {
      n.tokens[i] = Math.max(-MAX_DEBT_WINDOWS * n.guarantee[i], n.guarantee[i] - (old.guarantee[i] - old.tokens[i]));
    }
    if (old.borrower != null) {
      Node.Borrower b = lending.borrower(n, now);
      System.arraycopy(old.borrower.borrowed, 0, b.borrowed, 0, lanes.size());
      System.arraycopy(old.borrower.lentMark, 0, b.lentMark, 0, lanes.size());
      System.arraycopy(old.borrower.lastAttemptAt, 0, b.lastAttemptAt, 0, lanes.size());
    }
    n.accounts = old.accounts;
  }

  /**
   * Sets other guarantees for configured nodes, such as this instance's share of the installation's: one value per lane for each path.
   * Usage, credit and requests in flight stay. Ceilings are scaled in proportion to the node's guarantee, or its parent's where the node
   * has none.
   */
  public void scaleGuarantees(long at, Map<String, double[]> guarantees) {
    now = Math.max(now, at);
    for (NodeSpec spec : plan.nodes().values()) {
      Node n = nodes.get(spec.path());
      double[] f = guarantees.get(spec.path());
      if (f == null) {
        continue;
      }
      refill(n);
      double[] previous = n.guarantee;
      n.guarantee = f.clone();
      n.ceiling = spec.ceiling().clone();
      for (int i = 0; i < lanes.size(); i++) {
        double ratio = spec.guarantee()[i] > 0 ? f[i] / spec.guarantee()[i]
            : n.parent == null ? 1 : plan.nodes().get(n.parent.path).guarantee()[i] > 0
                ? n.parent.guarantee[i] / plan.nodes().get(n.parent.path).guarantee()[i] : 1;
        n.ceiling[i] *= ratio;
        if (!lanes.get(i).isConcurrency()) {
          // Keeps the fill ratio: a growing lease adds no tokens for free and a shrinking one creates no debt.
          n.tokens[i] = previous[i] > 0 ? n.tokens[i] * f[i] / previous[i] : 0;
        }
        if (n.childGuarantee != null) {
          n.childGuarantee[i] = f[i] * n.childTemplate.guaranteeRatio();
        }
      }
    }
  }

  /** Returns the units requested of each configured node since the last call, granted or not, and resets them. */
  public Map<String, double[]> takeDemand() {
    tracksDemand = true;
    Map<String, double[]> result = new HashMap<>();
    for (String path : plan.nodes().keySet()) {
      Node n = nodes.get(path);
      if (n.demand != null) {
        result.put(path, n.demand);
        n.demand = null;
      }
    }
    return result;
  }

  // ---- Node lookup ---------------------------------------------------------------------------------------

  private Node nearestNode(String path) {
    String at = path;
    while (true) {
      Node n = nodes.get(at);
      if (n != null || at.isEmpty()) {
        return n != null ? n : root;
      }
      at = QuotaPlan.parent(at);
    }
  }

  /** Returns the configured node of a path, a dynamic node where the parent has a template for children, or the nearest ancestor. */
  private Node findOrCreateNode(String path) {
    Node n = nodes.get(path.isEmpty() ? plan.others() : path); // An empty path is not charged to the root but to the node for unknown paths.
    if (n != null) {
      n.referenced = true;
      return n;
    }
    Node parent = nearestNode(QuotaPlan.parent(path));
    if (parent == root && root.childTemplate == null) {
      return nodes.get(plan.others());
    }
    if (parent.childTemplate == null || !parent.path.equals(QuotaPlan.parent(path)) || parent.depth >= QuotaPlan.MAX_DEPTH) {
      return parent;
    }
    evictIdleNodes();
    if (nodes.size() - plan.nodes().size() >= maxDynamicNodes) {
      return parent;
    }
    return createDynamicNode(parent, path);
  }

  /** Creates a node for a child that is not in the plan, from the template of its parent. */
  private Node createDynamicNode(Node parent, String path) {
    if (parent.childGuarantee == null) {
      parent.childGuarantee = parent.guarantee.clone();
      for (int i = 0; i < lanes.size(); i++) {
        parent.childGuarantee[i] *= parent.childTemplate.guaranteeRatio();
      }
    }
    Node n = new Node(path, parent, parent.childTemplate.weight(), false, parent.childGuarantee, parent.childTemplate.ceiling(), null, now);
    n.referenced = true;
    clockRing.add(n);
    parent.childCount++;
    nodes.put(path, n);
    return n;
  }

  /**
   * Evicts dynamic nodes without state, at most two for each new node. A full bucket with empty windows and no recent borrowing needs no
   * node.
   */
  private void evictIdleNodes() {
    for (int i = 0; i < SWEEP_STEPS && !clockRing.isEmpty(); i++) {
      clockHand = clockHand >= clockRing.size() ? 0 : clockHand;
      Node n = clockRing.get(clockHand);
      refill(n);
      if (n.referenced || n.childCount > 0 || n.inFlight > 0 || n.changed || !isIdle(n)) {
        n.referenced = false;
        clockHand++;
        continue;
      }
      n.parent.childCount--;
      nodes.remove(n.path);
      clockRing.set(clockHand, clockRing.get(clockRing.size() - 1));
      clockRing.remove(clockRing.size() - 1);
    }
  }

  private boolean isIdle(Node n) {
    for (int i = 0; i < lanes.size(); i++) {
      if (n.tokens[i] < n.guarantee[i] * (1 - 1e-9)) {
        return false;
      }
      if (n.windows != null && n.windows[i] != null && !n.windows[i].isEmpty(now)) {
        return false;
      }
      if (n.borrower != null && now - n.borrower.lastAttemptAt[i] <= Lending.BORROWER_TIMEOUT_NANOS) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of nodes, configured and dynamic. */
  public int nodeCount() {
    return nodes.size();
  }

  // ---- Decision ------------------------------------------------------------------------------------------

  private void refill(Node n) {
    long passed = now - n.refilledAt;
    if (passed <= 0) {
      return;
    }
    n.refilledAt = now;
    for (int i = 0; i < n.tokens.length; i++) {
      Lane lane = lanes.get(i);
      if (!lane.isConcurrency()) {
        n.tokens[i] = Math.min(n.guarantee[i], n.tokens[i] + n.guarantee[i] * ((double) passed / lane.windowNanos()));
      }
    }
  }

  /**
   * Requests the given cost, one value per lane; concurrency costs 1. A granted cost is charged immediately.
   *
   * @return the grant, to be passed to {@link #settle} and {@link #release}; a rejection where {@link #isRejected} says so
   */
  public long tryAcquire(long at, String path, double[] cost) {
    now = Math.max(now, at); // Time does not go back if the clock does.
    Node leaf = findOrCreateNode(path);
    long grant = 0;
    for (Node n = leaf; n != null; n = n.parent) {
      refill(n);
    }
    for (Node n = leaf; n != null && tracksDemand; n = n.parent) {
      recordDemand(n, cost);
    }
    for (int i = 0; i < cost.length; i++) {
      double units = cappedCost(leaf, i, cost[i]);
      if (units <= 0) {
        continue;
      }
      for (Node n = leaf; n != null; n = n.parent) {
        if (!isUnderCeiling(n, i, units)) {
          return reject(i, n, units, true);
        }
      }
      int lenderDistance = findLender(leaf, i, units);
      if (lenderDistance < 0) {
        return reject(i, leaf, units, false);
      }
      grant |= (long) lenderDistance << BITS_PER_LANE * i;
    }
    for (int i = 0; i < cost.length; i++) {
      charge(leaf, i, cappedCost(leaf, i, cost[i]), (int) (grant >>> BITS_PER_LANE * i & 15));
    }
    for (Node n = leaf; n != null; n = n.parent) {
      n.inFlight++;
      markChanged(n);
    }
    return grant;
  }

  /** Marks a node whose saved state is out of date. */
  private void markChanged(Node n) {
    if (tracksChanges && !n.changed) {
      n.changed = true;
      changedNodes.add(n);
    }
  }

  private void recordDemand(Node n, double[] cost) {
    if (!n.configured) {
      return;
    }
    if (n.demand == null) {
      n.demand = new double[lanes.size()];
    }
    for (int i = 0; i < cost.length; i++) {
      // Demand for concurrency is the peak.
      n.demand[i] = lanes.get(i).isConcurrency() ? Math.max(n.demand[i], n.inFlight + cost[i]) : n.demand[i] + cost[i];
    }
  }

  /** Returns the cost that is charged: a request is charged a bounded multiple of the root's guarantee, however large its hint. */
  private double cappedCost(Node leaf, int lane, double units) {
    return lanes.get(lane).isConcurrency() ? Math.min(1, units) : Math.min(units, MAX_COST_RATIO * root.guarantee[lane]);
  }

  private boolean isUnderCeiling(Node n, int lane, double units) {
    double limit = n.ceiling == null ? Double.POSITIVE_INFINITY : n.ceiling[lane];
    if (limit == Double.POSITIVE_INFINITY) {
      return true;
    }
    if (lanes.get(lane).isConcurrency()) {
      return n.inFlight + 1 <= limit;
    }
    double sum = n.windows == null || n.windows[lane] == null ? 0 : n.windows[lane].sum(now);
    // A single request of more work or bytes than the ceiling is granted while the window is empty; otherwise it never could be.
    return sum + units <= limit || sum == 0 && lanes.get(lane).dimension() != Dimension.REQUESTS;
  }

  private double availableTokens(Node n, int lane) {
    return lanes.get(lane).isConcurrency() ? n.guarantee[lane] - n.inFlight : n.tokens[lane];
  }

  /** Whether a node has enough tokens. A request larger than the whole bucket needs a full bucket; the rest becomes debt. */
  private boolean hasTokens(Node n, int lane, double units) {
    return n.guarantee[lane] > 0 && availableTokens(n, lane) >= Math.min(units, n.guarantee[lane]) * (1 - 1e-12);
  }

  /** Returns the number of levels up to the node whose tokens are used: 0 for the node itself, -1 for none. */
  private int findLender(Node leaf, int lane, double units) {
    if (hasTokens(leaf, lane, units)) {
      return 0;
    }
    // The nearest ancestor that may lend: one may be too empty for a child that far ahead while the next one above is full enough.
    double lead = 0;
    int distance = 1;
    for (Node c = leaf; c.parent != null; c = c.parent, distance++) {
      lead = lending.lead(c, lane, units, now) + LOWER_LEVEL_WEIGHT * lead;
      Node lender = c.parent;
      double reserve = (lanes.get(lane).isConcurrency() ? CONCURRENCY_RESERVE_RATIO : RESERVE_RATIO) * lead * lender.guarantee[lane] - 1;
      if (hasTokens(lender, lane, units) && availableTokens(lender, lane) >= Math.min(lender.guarantee[lane], units + reserve) * (1 - 1e-12)) {
        return distance;
      }
    }
    return -1;
  }

  private void charge(Node leaf, int lane, double units, int lenderDistance) {
    if (units <= 0) {
      return;
    }
    boolean concurrency = lanes.get(lane).isConcurrency();
    int distance = 0;
    for (Node n = leaf; n != null; n = n.parent, distance++) {
      if (distance >= lenderDistance && !concurrency) {
        n.tokens[lane] = Math.max(-MAX_DEBT_WINDOWS * Math.max(n.guarantee[lane], units), n.tokens[lane] - units);
      } else if (distance < lenderDistance && n.parent != null) {
        lending.recordBorrowing(n, lane, units, now);
      }
      if (n.ceiling != null && n.ceiling[lane] != Double.POSITIVE_INFINITY && !concurrency) {
        window(n, lane).add(now, units);
      }
    }
  }

  private SlidingWindow window(Node n, int lane) {
    if (n.windows == null) {
      n.windows = new SlidingWindow[lanes.size()];
    }
    if (n.windows[lane] == null) {
      n.windows[lane] = new SlidingWindow(lanes.get(lane).windowNanos(), now);
    }
    return n.windows[lane];
  }

  // ---- Rejections ----------------------------------------------------------------------------------------

  private long reject(int lane, Node n, double units, boolean ceiling) {
    long waitNanos;
    if (lanes.get(lane).isConcurrency()) {
      waitNanos = 0; // It is unknown when a request in flight ends.
    } else if (ceiling) {
      SlidingWindow c = n.windows == null ? null : n.windows[lane];
      waitNanos = c == null ? lanes.get(lane).windowNanos() : c.nanosUntilFreed(now, c.sum(now) + units - n.ceiling[lane]);
    } else {
      Node own = n;
      while (own.parent != null && own.guarantee[lane] <= 0) {
        own = own.parent; // A node without a guarantee waits for its nearest ancestor that has one.
      }
      double missing = Math.min(units, own.guarantee[lane]) - own.tokens[lane];
      waitNanos = (long) Math.ceil(Math.max(0, missing) / own.guarantee[lane] * lanes.get(lane).windowNanos());
    }
    retryAt = now + waitNanos;
    return REJECTED | (ceiling ? 16 : 0) | lane;
  }

  /** Returns whether the request was rejected. */
  public static boolean isRejected(long grant) {
    return (grant & REJECTED) != 0;
  }

  /** Returns the lane that caused a rejection. */
  public Lane bindingLane(long rejection) {
    return lanes.get((int) (rejection & 15));
  }

  /** Returns whether a rejection was caused by a ceiling, and not by a lack of tokens to borrow. */
  public static boolean isCeilingRejection(long rejection) {
    return (rejection & 16) != 0;
  }

  /** Clock reading at which the request rejected last could be granted. */
  public long retryAt() {
    return retryAt;
  }

  /** Returns how many levels up the tokens of a lane came from: 0 for the node's own. */
  public static int lenderDistance(long grant, int lane) {
    return (int) (grant >>> BITS_PER_LANE * lane & 15);
  }

  // ---- Settlement ----------------------------------------------------------------------------------------

  /**
   * Replaces the estimated cost by the actual cost once it is known: the difference is charged or refunded where the estimate was charged.
   * Borrowed tokens that were not used still count as borrowed, because other nodes could not use them meanwhile.
   *
   * @param grantedAt clock reading of the grant
   */
  public void settle(long at, String path, long grant, long grantedAt, double[] estimated, double[] actual) {
    now = Math.max(now, at);
    Node leaf = findOrCreateNode(path);
    for (int i = 0; i < actual.length; i++) {
      double delta = lanes.get(i).isConcurrency() ? 0 : cappedCost(leaf, i, actual[i]) - cappedCost(leaf, i, estimated[i]);
      if (delta == 0) {
        continue;
      }
      int distance = 0;
      for (Node n = leaf; n != null; n = n.parent, distance++) {
        if (distance >= lenderDistance(grant, i)) {
          refill(n);
          n.tokens[i] = Math.max(-MAX_DEBT_WINDOWS * Math.max(n.guarantee[i], delta), Math.min(n.guarantee[i], n.tokens[i] - delta));
        } else if (delta > 0) {
          lending.recordBorrowing(n, i, delta, now);
        }
        if (delta > 0 && n.ceiling != null && n.ceiling[i] != Double.POSITIVE_INFINITY) {
          window(n, i).add(now, delta);
        } else if (delta < 0 && n.windows != null && n.windows[i] != null) {
          n.windows[i].refund(now, grantedAt, -delta);
        }
        markChanged(n); // A restart must not lose this: the snapshot at the grant held the estimate only.
      }
    }
  }

  /** Ends a granted request, whatever its outcome, and releases its concurrency. To be called once for each grant. */
  public void release(long at, String path, long grant) {
    now = Math.max(now, at);
    if (isRejected(grant)) {
      return;
    }
    for (Node n = findOrCreateNode(path); n != null; n = n.parent) {
      n.inFlight = Math.max(0, n.inFlight - 1);
    }
  }

  // ---- Status and snapshots ------------------------------------------------------------------------------

  /** Passes the status of each node at a clock reading to a consumer. */
  public void forEachNode(long at, Consumer<NodeStatus> to) {
    now = Math.max(now, at);
    for (Node n : List.copyOf(nodes.values())) {
      refill(n);
      double[] lag = new double[lanes.size()];
      double[] credit = new double[lanes.size()];
      for (int i = 0; i < lanes.size(); i++) {
        boolean borrowing = n.borrower != null && n.parent != null && now - n.borrower.lastAttemptAt[i] <= Lending.BORROWER_TIMEOUT_NANOS;
        lag[i] = borrowing ? lending.account(n.parent, i).maxBorrowed - n.borrower.borrowed[i] : 0;
        credit[i] = lending.credit(n, i, now);
      }
      to.accept(new NodeStatus(n.path, n.tokens.clone(), n.guarantee, n.inFlight, lag, credit));
    }
  }

  /**
   * State of a node that is kept over a restart. Requests in flight are left out: they end with the process.
   *
   * @param used units missing from the full bucket
   * @param lag of a borrower: how much less it has borrowed than the sibling that has borrowed most, per unit of weight
   * @param credit of a lender: what it is to be paid back, per unit of weight
   * @param windowUsage units that count against the ceilings
   */
  public record NodeSnapshot(String path, double[] used, double[] lag, double[] credit, double[] windowUsage) {}

  /** Returns the snapshots of all nodes with state at a clock reading. */
  public List<NodeSnapshot> snapshot(long at) {
    return snapshot(at, nodes.values());
  }

  /** Returns the snapshots of the nodes that were charged since the last call. */
  public List<NodeSnapshot> snapshotChanged(long at) {
    tracksChanges = true;
    List<NodeSnapshot> result = snapshot(at, changedNodes);
    changedNodes.forEach(n -> n.changed = false);
    changedNodes.clear();
    return result;
  }

  private List<NodeSnapshot> snapshot(long at, java.util.Collection<Node> of) {
    now = Math.max(now, at);
    List<NodeSnapshot> result = new ArrayList<>();
    for (Node n : of) {
      refill(n);
      double[] used = new double[lanes.size()];
      double[] lag = new double[lanes.size()];
      double[] credit = new double[lanes.size()];
      double[] windowUsage = new double[lanes.size()];
      boolean hasState = false;
      for (int i = 0; i < lanes.size(); i++) {
        used[i] = lanes.get(i).isConcurrency() ? 0 : n.guarantee[i] - n.tokens[i];
        boolean borrowing = n.borrower != null && n.parent != null && now - n.borrower.lastAttemptAt[i] <= Lending.BORROWER_TIMEOUT_NANOS;
        lag[i] = borrowing ? lending.account(n.parent, i).maxBorrowed - n.borrower.borrowed[i] : 0;
        credit[i] = lending.credit(n, i, now);
        windowUsage[i] = n.windows == null || n.windows[i] == null ? 0 : n.windows[i].sum(now);
        hasState |= used[i] > 1e-9 || lag[i] > 0 || credit[i] > 0 || windowUsage[i] > 0;
      }
      if (hasState) {
        result.add(new NodeSnapshot(n.path, used, lag, credit, windowUsage));
      }
    }
    return result;
  }

  /** Restores snapshots taken by a predecessor {@code ageNanos} ago; buckets are refilled for that time. */
  public void restore(long at, long ageNanos, List<NodeSnapshot> snapshots) {
    now = Math.max(now, at);
    long age = Math.max(0, ageNanos); // A timestamp in the future counts as now.
    for (NodeSnapshot s : snapshots) {
      Node n = findOrCreateNode(s.path());
      if (!n.path.equals(s.path())) {
        continue; // Its node is no longer in the plan, and none can be created for it.
      }
      refill(n);
      for (int i = 0; i < Math.min(lanes.size(), s.used().length); i++) {
        if (!lanes.get(i).isConcurrency()) {
          double remaining = s.used()[i] - n.guarantee[i] * ((double) age / lanes.get(i).windowNanos());
          n.tokens[i] = Math.max(-MAX_DEBT_WINDOWS * n.guarantee[i], Math.min(n.tokens[i], n.guarantee[i] - Math.max(0, remaining)));
        }
        if (s.windowUsage()[i] > 0 && !lanes.get(i).isConcurrency() && age < lanes.get(i).windowNanos()) {
          // The time of use within the window is unknown, so all of it counts as used now.
          window(n, i).add(now, s.windowUsage()[i]);
        }
        if (n.parent != null && s.lag()[i] + s.credit()[i] > 0) {
          // Relative to the current account of the parent; a node without lag or credit is assumed to have borrowed most.
          Node.Account a = lending.account(n.parent, i);
          lending.borrower(n, now).lentMark[i] = a.lentPerWeight - s.credit()[i] - s.lag()[i];
        }
      }
    }
  }
}
