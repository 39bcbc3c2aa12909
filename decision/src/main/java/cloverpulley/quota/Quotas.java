package cloverpulley.quota;

import cloverpulley.quota.QuotaPlan.NodeSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Decides who may take how much, by a tree of nodes ({@link QuotaPlan}). Each node holds tokens in each lane, filled at its guarantee.
 *
 * <ul>
 * <li>A request whose node has the tokens passes, whatever others do: a guarantee never waits for a borrower. What it takes is charged to
 *     the node and to all above it, which may go below zero by it, to a bound.
 * <li>Without them it borrows from the nearest node above that has them: idle share, for those above were charged for all that was used
 *     below. First inside the same parent, then above.
 * <li>Each child has an account of what it was lent for its weight. The further ahead of its siblings it is, the fuller the lender has to
 *     be before it lends to it: who has had less is served down to the last token, who has had most only from about half on. So idle
 *     share goes by weight and not by asking, and none of it is left unused (start-time fair queueing, Goyal, Vin and Cheng 1996, with
 *     the level of the tokens in the queue's place).
 * <li>Who comes back after lending starts behind those that borrowed meanwhile, by its fair part of what was lent, to a bound: that is
 *     how it is paid back, out of idle share alone and never out of anybody's guarantee.
 * </ul>
 *
 * A decision costs the depth of the tree. Idle nodes that are owed nothing and owe nothing are let go. One thread.
 */
public final class Quotas {

  /** How full a lender has to be for whoever is furthest ahead. */
  private static final double AMPLE = 0.5;
  /** In flight: what is kept back there is never used, so it is little. */
  private static final double AMPLE_LEVEL = 0.02;
  /** How much the accounts below weigh against those of the level above. */
  private static final double BELOW_PART = 0.125;
  /** Nodes charged for what others below were guaranteed go below zero by so many windows at most. */
  private static final double BELOW = 1;
  /** One request is charged for this many times what its node can ever hold, at most: a hint may lie. */
  private static final double MOST_COST = 60;
  private static final int SWEEP = 2;
  private static final int BITS = 4;
  /** A verdict that refuses has this bit; below it stands the lane that binds. */
  private static final long REFUSED = 1L << 62;

  /** What is known of a node, for people. */
  public record NodeStatus(String path, double[] tokens, double[] guarantee, int inFlight, double[] lag, double[] credit) {}

  private QuotaPlan plan;
  private List<Lane> lanes;
  private final int maxDynamicNodes;
  private final Map<String, Node> nodes = new HashMap<>();
  /** The unnamed ones, in a ring that a hand goes round: whoever has asked since it last passed stays (second chance). */
  private final ArrayList<Node> ring = new ArrayList<>();
  private int hand;
  private Node root;
  private Lending lending;
  private final List<Node> charged = new ArrayList<>();
  /** Whether anybody asks for what was charged: from the first time on. */
  private boolean tracksChanges;
  /** Whether anybody asks for what was asked. */
  private boolean counts;
  private long now;
  private long retryAt;

  /** @param maxDynamicNodes unnamed nodes kept at one time; beyond it requests are decided at their nearest node that is kept */
  public Quotas(QuotaPlan plan, int maxDynamicNodes, long now) {
    this.maxDynamicNodes = maxDynamicNodes;
    this.now = now;
    updatePlan(plan, now);
  }

  /** Takes another plan: what nodes have used, owe and are owed stays with those that stay, and goes up to the parent of those that go. */
  public void updatePlan(QuotaPlan next, long at) {
    if (plan != null && !next.lanes().equals(lanes)) {
      throw new IllegalArgumentException("quota: the lanes can't change while it runs");
    }
    now = Math.max(now, at);
    lanes = next.lanes();
    lending = lending == null ? new Lending(lanes) : lending;
    Map<String, Node> before = new HashMap<>(nodes);
    plan = next;
    if (!before.isEmpty()) {
      before.values().forEach(this::fill);
    }
    nodes.clear();
    ring.clear();
    hand = 0;
    root = null;
    for (NodeSpec s : next.nodes().values()) {
      Node parent = s.path().isEmpty() ? null : nodes.get(QuotaPlan.parent(s.path()));
      Node n = new Node(s.path(), parent, s.weight(), true, s.guarantee(), s.ceiling(), s.childTemplate(), now);
      root = parent == null ? n : root;
      nodes.put(s.path(), n);
      Node old = before.get(s.path());
      if (parent != null) {
        parent.children++;
        parent.namedWeight += s.weight();
      }
      if (old != null) {
        carry(old, n);
      }
    }
    for (Node old : before.values()) {
      Node parent = old.named ? null : nodes.get(QuotaPlan.parent(old.path));
      if (parent != null && parent.childTemplate != null && !nodes.containsKey(old.path)) {
        carry(old, stranger(parent, old.path));
      }
    }
    for (Node old : before.values()) {
      if (!nodes.containsKey(old.path)) {
        // A node that goes leaves what is in flight to whoever is above: its ends still come.
        Node heir = nearest(old.path);
        if (old.inFlight > 0 && heir.inFlight < old.inFlight) {
          heir.inFlight = Math.max(heir.inFlight, old.inFlight);
        }
      }
    }
  }

  /** A smaller quota is not below zero for what it was larger before; what was used of it counts on. */
  private void carry(Node old, Node n) {
    n.filledAt = old.filledAt;
    n.inFlight = old.inFlight;
    n.ceilings = old.ceilings;
    for (int i = 0; i < lanes.size(); i++) {
      n.tokens[i] = Math.max(-BELOW * n.guarantee[i], n.guarantee[i] - (old.guarantee[i] - old.tokens[i]));
    }
    if (old.loans != null) {
      Node.Loans l = lending.loans(n, now);
      System.arraycopy(old.loans.had, 0, l.had, 0, lanes.size());
      System.arraycopy(old.loans.since, 0, l.since, 0, lanes.size());
      System.arraycopy(old.loans.tried, 0, l.tried, 0, lanes.size());
    }
    n.accounts = old.accounts;
  }

  /**
   * Gives the named nodes other guarantees, such as this instance's part of the installation's; by node a figure for each lane. What was
   * used, is owed and is in flight stays; ceilings go with the guarantees in their proportion, or their parent's where there is none.
   */
  public void scaleGuarantees(long at, Map<String, double[]> figures) {
    now = Math.max(now, at);
    for (NodeSpec spec : plan.nodes().values()) {
      Node n = nodes.get(spec.path());
      double[] f = figures.get(spec.path());
      if (f == null) {
        continue;
      }
      fill(n);
      double[] before = n.guarantee;
      n.guarantee = f.clone();
      n.ceiling = spec.ceiling().clone();
      for (int i = 0; i < lanes.size(); i++) {
        double part = spec.guarantee()[i] > 0 ? f[i] / spec.guarantee()[i]
            : n.parent == null ? 1 : plan.nodes().get(n.parent.path).guarantee()[i] > 0
                ? n.parent.guarantee[i] / plan.nodes().get(n.parent.path).guarantee()[i] : 1;
        n.ceiling[i] *= part;
        if (!lanes.get(i).isLevel()) {
          // Half full stays half full: a lease that grows is no gift of tokens, one that shrinks no debt.
          n.tokens[i] = before[i] > 0 ? n.tokens[i] * f[i] / before[i] : 0;
        }
        if (n.childGuarantee != null) {
          n.childGuarantee[i] = f[i] * n.childTemplate.guaranteeRatio();
        }
      }
    }
  }

  /** What was asked for of each named node since the last call, in units, whether it was granted or not. */
  public Map<String, double[]> takeDemand() {
    counts = true;
    Map<String, double[]> all = new HashMap<>();
    for (String path : plan.nodes().keySet()) {
      Node n = nodes.get(path);
      if (n.asked != null) {
        all.put(path, n.asked);
        n.asked = null;
      }
    }
    return all;
  }

  // ---- Finding a node ------------------------------------------------------------------------------------

  private Node nearest(String path) {
    String at = path;
    while (true) {
      Node n = nodes.get(at);
      if (n != null || at.isEmpty()) {
        return n != null ? n : root;
      }
      at = QuotaPlan.parent(at);
    }
  }

  /** The node of a path: a named one, one made for an unnamed child where its parent gives those something, or the nearest above. */
  private Node node(String path) {
    Node n = nodes.get(path.isEmpty() ? plan.others() : path); // Who names nobody is no more the root than a stranger is.
    if (n != null) {
      n.recent = true;
      return n;
    }
    Node parent = nearest(QuotaPlan.parent(path));
    if (parent == root && root.childTemplate == null) {
      return nodes.get(plan.others());
    }
    if (parent.childTemplate == null || !parent.path.equals(QuotaPlan.parent(path)) || parent.depth >= QuotaPlan.MAX_DEPTH) {
      return parent;
    }
    sweep();
    if (nodes.size() - plan.nodes().size() >= maxDynamicNodes) {
      return parent;
    }
    return stranger(parent, path);
  }

  /** Makes a node for a child that the plan does not name. */
  private Node stranger(Node parent, String path) {
    if (parent.childGuarantee == null) {
      parent.childGuarantee = parent.guarantee.clone();
      for (int i = 0; i < lanes.size(); i++) {
        parent.childGuarantee[i] *= parent.childTemplate.guaranteeRatio();
      }
    }
    Node n = new Node(path, parent, parent.childTemplate.weight(), false, parent.childGuarantee, parent.childTemplate.ceiling(), null, now);
    n.recent = true;
    ring.add(n);
    parent.children++;
    nodes.put(path, n);
    return n;
  }

  /** Lets go of unnamed nodes that ask no more, a few with each new one: what is full, in no window and owed nothing tells nothing. */
  private void sweep() {
    for (int i = 0; i < SWEEP && !ring.isEmpty(); i++) {
      hand = hand >= ring.size() ? 0 : hand;
      Node n = ring.get(hand);
      fill(n);
      if (n.recent || n.children > 0 || n.inFlight > 0 || n.charged || !isClear(n)) {
        n.recent = false;
        hand++;
        continue;
      }
      n.parent.children--;
      nodes.remove(n.path);
      ring.set(hand, ring.get(ring.size() - 1));
      ring.remove(ring.size() - 1);
    }
  }

  private boolean isClear(Node n) {
    for (int i = 0; i < lanes.size(); i++) {
      if (n.tokens[i] < n.guarantee[i] * (1 - 1e-9)) {
        return false;
      }
      if (n.ceilings != null && n.ceilings[i] != null && !n.ceilings[i].isEmpty(now)) {
        return false;
      }
      if (n.loans != null && now - n.loans.tried[i] <= Lending.ASKING_NANOS) {
        return false;
      }
    }
    return true;
  }

  /** Nodes that are kept, the named ones among them. */
  public int nodeCount() {
    return nodes.size();
  }

  // ---- The decision --------------------------------------------------------------------------------------

  private void fill(Node n) {
    long passed = now - n.filledAt;
    if (passed <= 0) {
      return;
    }
    n.filledAt = now;
    for (int i = 0; i < n.tokens.length; i++) {
      Lane lane = lanes.get(i);
      if (!lane.isLevel()) {
        n.tokens[i] = Math.min(n.guarantee[i], n.tokens[i] + n.guarantee[i] * ((double) passed / lane.windowNanos()));
      }
    }
  }

  /**
   * Asks for what a request costs: a figure for each lane, which counts 1 for concurrency. What is granted is charged at once.
   *
   * @return the grant, to be given back to {@link #settle} and {@link #release}; for a refusal see {@link #isRejected}
   */
  public long tryAcquire(long at, String path, double[] cost) {
    now = Math.max(now, at); // A clock that steps back stands still here.
    Node leaf = node(path);
    long grant = 0;
    for (Node n = leaf; n != null; n = n.parent) {
      fill(n);
    }
    for (Node n = leaf; n != null && counts; n = n.parent) {
      count(n, cost);
    }
    for (int i = 0; i < cost.length; i++) {
      double x = charged(leaf, i, cost[i]);
      if (x <= 0) {
        continue;
      }
      for (Node n = leaf; n != null; n = n.parent) {
        if (!underCeiling(n, i, x)) {
          return refuse(i, n, x, true);
        }
      }
      int lender = lender(leaf, i, x);
      if (lender < 0) {
        return refuse(i, leaf, x, false);
      }
      grant |= (long) lender << BITS * i;
    }
    for (int i = 0; i < cost.length; i++) {
      charge(leaf, i, charged(leaf, i, cost[i]), (int) (grant >>> BITS * i & 15));
    }
    for (Node n = leaf; n != null; n = n.parent) {
      n.inFlight++;
      changed(n);
    }
    return grant;
  }

  /** What is kept of a node over a restart has changed. */
  private void changed(Node n) {
    if (tracksChanges && !n.charged) {
      n.charged = true;
      charged.add(n);
    }
  }

  private void count(Node n, double[] cost) {
    if (!n.named) {
      return;
    }
    if (n.asked == null) {
      n.asked = new double[lanes.size()];
    }
    for (int i = 0; i < cost.length; i++) {
      // Of a level the most at one time is what is asked for.
      n.asked[i] = lanes.get(i).isLevel() ? Math.max(n.asked[i], n.inFlight + cost[i]) : n.asked[i] + cost[i];
    }
  }

  /** What a request is charged for: no more than some times what there ever is, however large its hint. */
  private double charged(Node leaf, int lane, double x) {
    return lanes.get(lane).isLevel() ? Math.min(1, x) : Math.min(x, MOST_COST * root.guarantee[lane]);
  }

  private boolean underCeiling(Node n, int lane, double x) {
    double most = n.ceiling == null ? Double.POSITIVE_INFINITY : n.ceiling[lane];
    if (most == Double.POSITIVE_INFINITY) {
      return true;
    }
    if (lanes.get(lane).isLevel()) {
      return n.inFlight + 1 <= most;
    }
    double sum = n.ceilings == null || n.ceilings[lane] == null ? 0 : n.ceilings[lane].sum(now);
    // One request of more work or octets than all there is passes alone, or it never would.
    return sum + x <= most || sum == 0 && lanes.get(lane).dimension() != Dimension.REQUESTS;
  }

  private double tokens(Node n, int lane) {
    return lanes.get(lane).isLevel() ? n.guarantee[lane] - n.inFlight : n.tokens[lane];
  }

  /** Enough for a request, or all there can be where that is larger: then it waits for all of it, and the rest is owed. */
  private boolean has(Node n, int lane, double x) {
    return n.guarantee[lane] > 0 && tokens(n, lane) >= Math.min(x, n.guarantee[lane]) * (1 - 1e-12);
  }

  /** Levels up to the node whose tokens it takes: 0 for its own; below 0 for none. */
  private int lender(Node leaf, int lane, double x) {
    if (has(leaf, lane, x)) {
      return 0;
    }
    // The nearest that may lend: one may be too empty for who is that far ahead, and the one above it full enough all the same.
    double ahead = 0;
    int up = 1;
    for (Node c = leaf; c.parent != null; c = c.parent, up++) {
      ahead = lending.ahead(c, lane, x, now) + BELOW_PART * ahead;
      Node lender = c.parent;
      double kept = (lanes.get(lane).isLevel() ? AMPLE_LEVEL : AMPLE) * ahead * lender.guarantee[lane] - 1;
      if (has(lender, lane, x) && tokens(lender, lane) >= Math.min(lender.guarantee[lane], x + kept) * (1 - 1e-12)) {
        return up;
      }
    }
    return -1;
  }

  private void charge(Node leaf, int lane, double x, int lender) {
    if (x <= 0) {
      return;
    }
    boolean level = lanes.get(lane).isLevel();
    int up = 0;
    for (Node n = leaf; n != null; n = n.parent, up++) {
      if (up >= lender && !level) {
        n.tokens[lane] = Math.max(-BELOW * Math.max(n.guarantee[lane], x), n.tokens[lane] - x);
      } else if (up < lender && n.parent != null) {
        lending.borrowed(n, lane, x, now);
      }
      if (n.ceiling != null && n.ceiling[lane] != Double.POSITIVE_INFINITY && !level) {
        ceiling(n, lane).add(now, x);
      }
    }
  }

  private Ceiling ceiling(Node n, int lane) {
    if (n.ceilings == null) {
      n.ceilings = new Ceiling[lanes.size()];
    }
    if (n.ceilings[lane] == null) {
      n.ceilings[lane] = new Ceiling(lanes.get(lane).windowNanos(), now);
    }
    return n.ceilings[lane];
  }

  // ---- Refusals ------------------------------------------------------------------------------------------

  private long refuse(int lane, Node n, double x, boolean ceiling) {
    long wait;
    if (lanes.get(lane).isLevel()) {
      wait = 0; // When something ends nobody knows.
    } else if (ceiling) {
      Ceiling c = n.ceilings == null ? null : n.ceilings[lane];
      wait = c == null ? lanes.get(lane).windowNanos() : c.until(now, c.sum(now) + x - n.ceiling[lane]);
    } else {
      Node own = n;
      while (own.parent != null && own.guarantee[lane] <= 0) {
        own = own.parent; // Without a guarantee of its own it waits for whoever lends to it.
      }
      double missing = Math.min(x, own.guarantee[lane]) - own.tokens[lane];
      wait = (long) Math.ceil(Math.max(0, missing) / own.guarantee[lane] * lanes.get(lane).windowNanos());
    }
    retryAt = now + wait;
    return REFUSED | (ceiling ? 16 : 0) | lane;
  }

  /** Whether it was refused. */
  public static boolean isRejected(long grant) {
    return (grant & REFUSED) != 0;
  }

  /** Of a refusal: the lane that bound. */
  public Lane bindingLane(long refusal) {
    return lanes.get((int) (refusal & 15));
  }

  /** Of a refusal: whether a ceiling bound, and not that nobody had anything to lend. */
  public static boolean isCeilingRejection(long refusal) {
    return (refusal & 16) != 0;
  }

  /** When the share of whoever was refused last will really be there; a clock reading. */
  public long retryAt() {
    return retryAt;
  }

  /** How many levels up a lane's tokens came from: 0 for its own guarantee. */
  public static int lenderDistance(long grant, int lane) {
    return (int) (grant >>> BITS * lane & 15);
  }

  // ---- What comes after ----------------------------------------------------------------------------------

  /**
   * What it really took, once that is known: the difference is charged, or given back, where the estimate was. What was borrowed and
   * not used stays owed: it was not there for others meanwhile.
   *
   * @param askedAt clock reading at which it was granted
   */
  public void settle(long at, String path, long grant, long askedAt, double[] estimated, double[] actual) {
    now = Math.max(now, at);
    Node leaf = node(path);
    for (int i = 0; i < actual.length; i++) {
      double more = lanes.get(i).isLevel() ? 0 : charged(leaf, i, actual[i]) - charged(leaf, i, estimated[i]);
      if (more == 0) {
        continue;
      }
      int up = 0;
      for (Node n = leaf; n != null; n = n.parent, up++) {
        if (up >= lenderDistance(grant, i)) {
          fill(n);
          n.tokens[i] = Math.max(-BELOW * Math.max(n.guarantee[i], more), Math.min(n.guarantee[i], n.tokens[i] - more));
        } else if (more > 0) {
          lending.borrowed(n, i, more, now);
        }
        if (more > 0 && n.ceiling != null && n.ceiling[i] != Double.POSITIVE_INFINITY) {
          ceiling(n, i).add(now, more);
        } else if (more < 0 && n.ceilings != null && n.ceilings[i] != null) {
          n.ceilings[i].takeBack(now, askedAt, -more);
        }
        changed(n); // Guards a restart in between: what was kept at the grant knows nothing of this.
      }
    }
  }

  /** It is over, whatever its end: its place in flight is given back. To be called once for each grant. */
  public void release(long at, String path, long grant) {
    now = Math.max(now, at);
    if (isRejected(grant)) {
      return;
    }
    for (Node n = node(path); n != null; n = n.parent) {
      n.inFlight = Math.max(0, n.inFlight - 1);
    }
  }

  // ---- What is seen and kept of it -----------------------------------------------------------------------

  /** Tells of all nodes that are kept, at a clock reading. */
  public void forEachNode(long at, Consumer<NodeStatus> to) {
    now = Math.max(now, at);
    for (Node n : List.copyOf(nodes.values())) {
      fill(n);
      double[] lag = new double[lanes.size()];
      double[] credit = new double[lanes.size()];
      for (int i = 0; i < lanes.size(); i++) {
        boolean asks = n.loans != null && n.parent != null && now - n.loans.tried[i] <= Lending.ASKING_NANOS;
        lag[i] = asks ? lending.account(n.parent, i).most - n.loans.had[i] : 0;
        credit[i] = lending.credit(n, i, now);
      }
      to.accept(new NodeStatus(n.path, n.tokens.clone(), n.guarantee, n.inFlight, lag, credit));
    }
  }

  /**
   * One node's state as it is kept over a restart: nothing that is in flight, for that ends with the process.
   *
   * @param windowUsage what counts against its ceilings
   */
  public record NodeSnapshot(String path, double[] used, double[] lag, double[] credit, double[] windowUsage) {}

  /** What a successor has to know, at a clock reading; nodes of which nothing is to be known are left out. */
  public List<NodeSnapshot> snapshot(long at) {
    return snapshot(at, nodes.values());
  }

  /** The same of those nodes alone to which something was charged since the last call. */
  public List<NodeSnapshot> snapshotChanged(long at) {
    tracksChanges = true;
    List<NodeSnapshot> some = snapshot(at, charged);
    charged.forEach(n -> n.charged = false);
    charged.clear();
    return some;
  }

  private List<NodeSnapshot> snapshot(long at, java.util.Collection<Node> of) {
    now = Math.max(now, at);
    List<NodeSnapshot> all = new ArrayList<>();
    for (Node n : of) {
      fill(n);
      double[] used = new double[lanes.size()];
      double[] lag = new double[lanes.size()];
      double[] credit = new double[lanes.size()];
      double[] windowUsage = new double[lanes.size()];
      boolean any = false;
      for (int i = 0; i < lanes.size(); i++) {
        used[i] = lanes.get(i).isLevel() ? 0 : n.guarantee[i] - n.tokens[i];
        boolean asks = n.loans != null && n.parent != null && now - n.loans.tried[i] <= Lending.ASKING_NANOS;
        lag[i] = asks ? lending.account(n.parent, i).most - n.loans.had[i] : 0;
        credit[i] = lending.credit(n, i, now);
        windowUsage[i] = n.ceilings == null || n.ceilings[i] == null ? 0 : n.ceilings[i].sum(now);
        any |= used[i] > 1e-9 || lag[i] > 0 || credit[i] > 0 || windowUsage[i] > 0;
      }
      if (any) {
        all.add(new NodeSnapshot(n.path, used, lag, credit, windowUsage));
      }
    }
    return all;
  }

  /** Takes what a predecessor kept, {@code agoNanos} ago: what has been filled since is not used any more. */
  public void restore(long at, long agoNanos, List<NodeSnapshot> kept) {
    now = Math.max(now, at);
    long ago = Math.max(0, agoNanos); // A file from the future is as old as this moment.
    for (NodeSnapshot k : kept) {
      Node n = node(k.path());
      if (!n.path.equals(k.path())) {
        continue; // Its node is not in the plan any more, nor could one be made for it.
      }
      fill(n);
      for (int i = 0; i < Math.min(lanes.size(), k.used().length); i++) {
        if (!lanes.get(i).isLevel()) {
          double left = k.used()[i] - n.guarantee[i] * ((double) ago / lanes.get(i).windowNanos());
          n.tokens[i] = Math.max(-BELOW * n.guarantee[i], Math.min(n.tokens[i], n.guarantee[i] - Math.max(0, left)));
        }
        if (k.windowUsage()[i] > 0 && !lanes.get(i).isLevel() && ago < lanes.get(i).windowNanos()) {
          // When in the window it was is not known: all of it counts as if it were now.
          ceiling(n, i).add(now, k.windowUsage()[i]);
        }
        if (n.parent != null && k.lag()[i] + k.credit()[i] > 0) {
          // Counted from where the parent's account stands now; whoever is not named has had most.
          Node.Account a = lending.account(n.parent, i);
          lending.loans(n, now).since[i] = a.lent - k.credit()[i] - k.lag()[i];
        }
      }
    }
  }
}
