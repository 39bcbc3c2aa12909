package cloverpulley.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the operators give to whom: a tree of nodes, each with a guarantee and a ceiling in each lane, and a weight among its siblings for
 * what is lent. Immutable. The guarantees of a node's children never add up to more than its own: what is promised can be kept.
 */
public final class QuotaPlan {

  /** Lanes at most: a verdict holds the lender of each. */
  public static final int MAX_LANES = 8;
  /** Levels below the root at most. */
  public static final int MAX_DEPTH = 8;
  private static final int MOST_NAME = 128;
  private static final double ROUNDING = 1e-9;

  /**
   * One node.
   *
   * @param guarantee units in a lane's window that are always to be had; 0 for none
   * @param ceiling units in any window that are never passed; infinite for none
   * @param weight its part of what is lent to it and its siblings
   * @param childTemplate what a child that is not named is given, each by itself; null where unnamed ones share {@code others}
   */
  public record NodeSpec(String path, double weight, double[] guarantee, double[] ceiling, ChildTemplate childTemplate) {}

  /** What an unnamed child gets: parts of its parent's guarantee, which may add up to more than all of it, and a weight. */
  public record ChildTemplate(double weight, double guaranteeRatio, double[] ceiling) {}

  private final List<Lane> lanes;
  private final Map<String, NodeSpec> nodes;
  private final String others;

  private QuotaPlan(List<Lane> lanes, Map<String, NodeSpec> nodes, String others) {
    this.lanes = List.copyOf(lanes);
    this.nodes = nodes;
    this.others = others;
  }

  public List<Lane> lanes() {
    return lanes;
  }

  /** All named nodes by path, parents before children; the root's path is empty. */
  public Map<String, NodeSpec> nodes() {
    return nodes;
  }

  /** Where those go that name nobody, or nobody known; "" for the root itself. */
  public String others() {
    return others;
  }

  static String parent(String path) {
    int slash = path.lastIndexOf('/');
    return slash < 0 ? "" : path.substring(0, slash);
  }

  static int depth(String path) {
    int depth = path.isEmpty() ? 0 : 1;
    for (int i = 0; i < path.length(); i++) {
      depth += path.charAt(i) == '/' ? 1 : 0;
    }
    return depth;
  }

  /** Puts a plan together, and refuses what makes no sense, naming the node. */
  public static final class Builder {

    private final List<Lane> lanes;
    private final Map<String, NodeSpec> nodes = new LinkedHashMap<>();
    private String others = "";

    /** @param total what there is of each lane in its window, for the whole installation */
    public Builder(List<Lane> lanes, double[] total) {
      check(!lanes.isEmpty() && lanes.size() <= MAX_LANES, "", "expected 1 to " + MAX_LANES + " lanes");
      check(lanes.stream().distinct().count() == lanes.size(), "", "a lane is there twice");
      check(total.length == lanes.size(), "", "expected a total for each lane");
      for (double t : total) {
        check(t > 0 && Double.isFinite(t), "", "expected totals above 0");
      }
      this.lanes = lanes;
      nodes.put("", new NodeSpec("", 1, total.clone(), total.clone(), null));
      Arrays.fill(nodes.get("").ceiling(), Double.POSITIVE_INFINITY);
    }

    private static void check(boolean ok, String path, String what) {
      if (!ok) {
        throw new IllegalArgumentException("quota " + (path.isEmpty() ? "root" : path) + ": " + what);
      }
    }

    /** Adds a node; its parent has to be there. {@code ceiling} null for none. */
    public Builder node(String path, double weight, double[] guarantee, double[] ceiling, ChildTemplate childTemplate) {
      check(!path.isEmpty() && path.length() <= MOST_NAME * MAX_DEPTH && !path.startsWith("/") && !path.endsWith("/")
          && !path.contains("//"), path, "expected names with / between them");
      check(depth(path) <= MAX_DEPTH, path, "deeper than " + MAX_DEPTH);
      check(!nodes.containsKey(path), path, "is there twice");
      NodeSpec parent = nodes.get(parent(path));
      check(parent != null, path, "its parent is not there");
      check(weight > 0 && Double.isFinite(weight), path, "expected a weight above 0");
      check(guarantee.length == lanes.size() && (ceiling == null || ceiling.length == lanes.size()), path,
          "expected a figure for each lane");
      double[] most = new double[lanes.size()];
      for (int i = 0; i < lanes.size(); i++) {
        most[i] = ceiling == null ? Double.POSITIVE_INFINITY : ceiling[i];
        check(guarantee[i] >= 0 && Double.isFinite(guarantee[i]), path, "expected guarantees of 0 or more");
        check(most[i] > 0 && most[i] >= guarantee[i], path, "its ceiling of " + lanes.get(i) + " is below its guarantee");
        double sum = guarantee[i];
        for (NodeSpec s : nodes.values()) {
          sum += !s.path().isEmpty() && parent(s.path()).equals(parent(path)) ? s.guarantee()[i] : 0;
        }
        check(sum <= parent.guarantee()[i] * (1 + ROUNDING), path, "the guarantees of " + lanes.get(i) + " below "
            + (parent.path().isEmpty() ? "the root" : parent.path()) + " add up to " + sum + ", more than its own "
            + parent.guarantee()[i]);
      }
      if (childTemplate != null) {
        check(childTemplate.weight() > 0 && childTemplate.guaranteeRatio() >= 0 && childTemplate.guaranteeRatio() <= 1, path,
            "expected a child's weight above 0 and its part from 0 to 1");
        check(depth(path) < MAX_DEPTH, path, "has children deeper than " + MAX_DEPTH);
      }
      nodes.put(path, new NodeSpec(path, weight, guarantee.clone(), most, childTemplate));
      return this;
    }

    /** Where the unknown go; the node has to be there. */
    public Builder others(String path) {
      check(nodes.containsKey(path), path, "is not there, and can't be where the unknown go");
      others = path;
      return this;
    }

    public QuotaPlan build() {
      return new QuotaPlan(lanes, java.util.Collections.unmodifiableMap(new LinkedHashMap<>(nodes)), others);
    }
  }

  /** Names of the nodes below one that are in the plan. */
  List<String> children(String path) {
    List<String> children = new ArrayList<>();
    for (String n : nodes.keySet()) {
      if (!n.isEmpty() && parent(n).equals(path)) {
        children.add(n);
      }
    }
    return children;
  }
}
