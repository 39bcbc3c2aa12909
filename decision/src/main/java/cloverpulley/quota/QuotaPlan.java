package cloverpulley.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Quotas as configured by the operators: a tree of nodes, each with a guarantee and a ceiling per lane and a weight among its siblings for
 * borrowing. Immutable. The guarantees of a node's children never add up to more than its own, so that all of them can be kept.
 */
public final class QuotaPlan {

  /** Maximum number of lanes: a grant encodes the lender of each. */
  public static final int MAX_LANES = 8;
  /** Maximum number of levels below the root. */
  public static final int MAX_DEPTH = 8;
  private static final int MAX_NAME_LENGTH = 128;
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /**
   * Configuration of one node.
   *
   * @param guarantee units per window of a lane that are always available; 0 for none
   * @param ceiling units that are not exceeded in any window; infinite for none
   * @param weight weight among its siblings for borrowed units
   * @param childTemplate what each child that is not in the plan gets; null where those share the node {@code others}
   */
  public record NodeSpec(String path, double weight, double[] guarantee, double[] ceiling, ChildTemplate childTemplate) {}

  /**
   * Weight and limits of a child that is not in the plan. Its guarantee is a ratio of the parent's; the ratios of all such children may add
   * up to more than 1.
   */
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

  /** All configured nodes by path, parents before children; the root's path is empty. */
  public Map<String, NodeSpec> nodes() {
    return nodes;
  }

  /** Path of the node for requests without a path or with an unknown one; empty for the root. */
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

  /** Builds a plan and rejects invalid nodes by path. */
  public static final class Builder {

    private final List<Lane> lanes;
    private final Map<String, NodeSpec> nodes = new LinkedHashMap<>();
    private String others = "";

    /** @param total units per window of each lane for the whole installation */
    public Builder(List<Lane> lanes, double[] total) {
      check(!lanes.isEmpty() && lanes.size() <= MAX_LANES, "", "expected 1 to " + MAX_LANES + " lanes");
      check(lanes.stream().distinct().count() == lanes.size(), "", "duplicate lane");
      check(total.length == lanes.size(), "", "expected one total per lane");
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

    /** Adds a node below an existing parent. A null {@code ceiling} means none. */
    public Builder node(String path, double weight, double[] guarantee, double[] ceiling, ChildTemplate childTemplate) {
      check(!path.isEmpty() && path.length() <= MAX_NAME_LENGTH * MAX_DEPTH && !path.startsWith("/") && !path.endsWith("/")
          && !path.contains("//"), path, "expected names with / between them");
      check(depth(path) <= MAX_DEPTH, path, "nested deeper than " + MAX_DEPTH);
      check(!nodes.containsKey(path), path, "defined twice");
      NodeSpec parent = nodes.get(parent(path));
      check(parent != null, path, "its parent is not defined");
      check(weight > 0 && Double.isFinite(weight), path, "expected a weight above 0");
      check(guarantee.length == lanes.size() && (ceiling == null || ceiling.length == lanes.size()), path,
          "expected one value per lane");
      double[] limits = new double[lanes.size()];
      for (int i = 0; i < lanes.size(); i++) {
        limits[i] = ceiling == null ? Double.POSITIVE_INFINITY : ceiling[i];
        check(guarantee[i] >= 0 && Double.isFinite(guarantee[i]), path, "expected guarantees of 0 or more");
        check(limits[i] > 0 && limits[i] >= guarantee[i], path, "its ceiling of " + lanes.get(i) + " is below its guarantee");
        double sum = guarantee[i];
        for (NodeSpec s : nodes.values()) {
          sum += !s.path().isEmpty() && parent(s.path()).equals(parent(path)) ? s.guarantee()[i] : 0;
        }
        check(sum <= parent.guarantee()[i] * (1 + ROUNDING_TOLERANCE), path, "the guarantees of " + lanes.get(i) + " below "
            + (parent.path().isEmpty() ? "the root" : parent.path()) + " add up to " + sum + ", more than its own "
            + parent.guarantee()[i]);
      }
      if (childTemplate != null) {
        check(childTemplate.weight() > 0 && childTemplate.guaranteeRatio() >= 0 && childTemplate.guaranteeRatio() <= 1, path,
            "expected a child weight above 0 and a child share from 0 to 1");
        check(depth(path) < MAX_DEPTH, path, "has children nested deeper than " + MAX_DEPTH);
      }
      nodes.put(path, new NodeSpec(path, weight, guarantee.clone(), limits, childTemplate));
      return this;
    }

    /** Sets the node for unknown paths, which has to exist. */
    public Builder others(String path) {
      check(nodes.containsKey(path), path, "is not defined and can't be the node for unknown paths");
      others = path;
      return this;
    }

    public QuotaPlan build() {
      return new QuotaPlan(lanes, java.util.Collections.unmodifiableMap(new LinkedHashMap<>(nodes)), others);
    }
  }

  /** Paths of the configured children of a node. */
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
