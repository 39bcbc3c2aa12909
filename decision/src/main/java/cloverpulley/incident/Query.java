package cloverpulley.incident;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A filter over records: comparisons of fields with words and numbers, joined by {@code and}, {@code or}, {@code not} and parentheses.
 *
 * <pre>
 * kind=answered and tenant=agro-tehnika and (answer=refused or latency_ms&gt;400) and at&gt;=2026-12-01T10:00:00Z
 * </pre>
 *
 * Fields are {@code kind, word, class, tenant, server, upstream, instance, request, answer} (text: = != ~, the last for "contains"),
 * {@code attempt, latency_ms, value, number} (numbers) and {@code at} (a time in ISO 8601, or Unix seconds). Values with blanks are written
 * in double quotes. The time range and the equalities that every match must satisfy let a reader skip blocks that cannot match.
 */
public final class Query {

  /** A field that an index may cover. The constants are stored in the index by name. */
  public enum IndexedField { KIND, WORD, CLASS, TENANT, SERVER, UPSTREAM, REQUEST }

  /** Necessary conditions for a match: a record that violates one of them does not match. */
  public record Constraints(long from, long to, Map<IndexedField, String> equalities) {}

  private static final int MAX_LENGTH = 4096;
  private static final int MAX_DEPTH = 50;

  private interface Node {
    boolean test(Entry e);

    /** Adds the conditions that every match must satisfy. Only comparisons and conjunctions have any. */
    default void addConstraints(ConstraintBuilder b) {}
  }

  private static final class ConstraintBuilder {
    long from = Long.MIN_VALUE;
    long to = Long.MAX_VALUE;
    final Map<IndexedField, String> equalities = new HashMap<>();
  }

  private final String text;
  private int at;
  private int depth;
  private final Node root;

  private Query(String text) {
    this.text = text;
    if (text.length() > MAX_LENGTH) {
      throw error("longer than " + MAX_LENGTH + " characters");
    }
    skipBlanks();
    root = at == text.length() ? e -> true : or();
    skipBlanks();
    if (at < text.length()) {
      throw error("expected and, or, or the end of the query");
    }
  }

  /**
   * Parses a query; an empty one matches every record.
   *
   * @throws IllegalArgumentException if the text is not a valid query; the message has the position and what was expected there
   */
  public static Query of(String text) {
    return new Query(text);
  }

  /** Whether a record matches. */
  public boolean test(Entry e) {
    return root.test(e);
  }

  /** The conditions that every matching record satisfies. */
  public Constraints constraints() {
    ConstraintBuilder b = new ConstraintBuilder();
    root.addConstraints(b);
    return new Constraints(b.from, b.to, Map.copyOf(b.equalities));
  }

  private IllegalArgumentException error(String message) {
    return new IllegalArgumentException("query, character " + (at + 1) + ": " + message);
  }

  // ---- Parsing -----------------------------------------------------------------------------------------

  private void skipBlanks() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private boolean accept(String word) {
    skipBlanks();
    int end = at + word.length();
    if (!text.regionMatches(true, at, word, 0, word.length())) {
      return false;
    }
    boolean letters = Character.isLetter(word.charAt(0));
    if (letters && end < text.length() && (Character.isLetterOrDigit(text.charAt(end)) || text.charAt(end) == '_')) {
      return false;
    }
    at = end;
    return true;
  }

  private Node or() {
    if (++depth > MAX_DEPTH) {
      throw error("nested deeper than " + MAX_DEPTH);
    }
    List<Node> any = new ArrayList<>(List.of(and()));
    while (accept("or")) {
      any.add(and());
    }
    depth--;
    return any.size() == 1 ? any.get(0) : e -> any.stream().anyMatch(n -> n.test(e));
  }

  private Node and() {
    List<Node> all = new ArrayList<>(List.of(not()));
    while (accept("and")) {
      all.add(not());
    }
    return all.size() == 1 ? all.get(0) : new Node() {
      @Override
      public boolean test(Entry e) {
        for (Node n : all) {
          if (!n.test(e)) {
            return false;
          }
        }
        return true;
      }

      @Override
      public void addConstraints(ConstraintBuilder b) {
        all.forEach(n -> n.addConstraints(b));
      }
    };
  }

  private Node not() {
    if (accept("not")) {
      if (++depth > MAX_DEPTH) {
        throw error("nested deeper than " + MAX_DEPTH);
      }
      Node n = not();
      depth--;
      return e -> !n.test(e);
    }
    if (accept("(")) {
      Node n = or();
      if (!accept(")")) {
        throw error("expected )");
      }
      return n;
    }
    return comparison();
  }

  private Node comparison() {
    skipBlanks();
    int start = at;
    while (at < text.length() && (Character.isLetterOrDigit(text.charAt(at)) || text.charAt(at) == '_')) {
      at++;
    }
    String field = text.substring(start, at).toLowerCase(Locale.ROOT);
    if (field.isEmpty()) {
      throw error("expected a field");
    }
    String operator = null;
    for (String o : List.of("!=", "<=", ">=", "=", "<", ">", "~")) {
      if (accept(o)) {
        operator = o;
        break;
      }
    }
    if (operator == null) {
      throw error("expected = != ~ < <= > or >= after " + field);
    }
    String value = value();
    return switch (field) {
      case "kind", "word", "class", "tenant", "server", "upstream", "instance", "request", "answer" -> textComparison(field, operator, value);
      case "attempt", "latency_ms", "value", "number" -> numberComparison(field, operator, number(value));
      case "at" -> timeComparison(operator, time(value));
      default -> {
        at = start;
        throw error("unknown field " + field + ", known are kind, word, class, tenant, server, upstream, instance, request, answer, "
            + "attempt, latency_ms, value, number, at");
      }
    };
  }

  private String value() {
    skipBlanks();
    if (at < text.length() && text.charAt(at) == '"') {
      int end = text.indexOf('"', at + 1);
      if (end < 0) {
        throw error("expected a closing \"");
      }
      String value = text.substring(at + 1, end);
      at = end + 1;
      return value;
    }
    int start = at;
    while (at < text.length() && !Character.isWhitespace(text.charAt(at)) && text.charAt(at) != ')' && text.charAt(at) != '(') {
      at++;
    }
    if (start == at) {
      throw error("expected a value");
    }
    return text.substring(start, at);
  }

  private double number(String value) {
    try {
      double n = Double.parseDouble(value);
      if (Double.isFinite(n)) {
        return n;
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw error("expected a number, got " + value);
  }

  /** Parses an ISO 8601 time or Unix seconds into microseconds of Unix time. */
  public static long parseTime(String value) {
    try {
      if (value.matches("\\d{1,12}(\\.\\d{1,6})?")) {
        return Math.round(Double.parseDouble(value) * 1e6);
      }
      Instant i = Instant.parse(value);
      return Math.addExact(Math.multiplyExact(i.getEpochSecond(), 1_000_000L), i.getNano() / 1000);
    } catch (DateTimeException | ArithmeticException e) {
      throw new IllegalArgumentException("expected a time such as 2026-12-01T10:00:00Z or Unix seconds, got " + value);
    }
  }

  private long time(String value) {
    try {
      return parseTime(value);
    } catch (IllegalArgumentException e) {
      throw error(e.getMessage());
    }
  }

  // ---- Comparisons -------------------------------------------------------------------------------------

  private static String field(String field, Entry e) {
    return switch (field) {
      case "kind" -> e.kind().name().toLowerCase(Locale.ROOT);
      case "word" -> e.word();
      case "class" -> e.className();
      case "tenant" -> e.tenant();
      case "server" -> e.name();
      case "upstream" -> Long.toHexString(e.upstream());
      case "instance" -> e.origin().instance();
      case "request" -> e.requestId();
      default -> e.kind() == Kind.ANSWERED || e.kind() == Kind.ENDED ? Entry.answerName(e.other()) : null;
    };
  }

  private Node textComparison(String field, String operator, String value) {
    if (operator.startsWith("<") || operator.startsWith(">")) {
      throw error(field + " is a text field: expected = != or ~");
    }
    if (!operator.equals("=")) {
      return operator.equals("~") ? e -> field(field, e) != null && field(field, e).contains(value) : e -> !value.equals(field(field, e));
    }
    IndexedField indexedField = switch (field) {
      case "instance", "answer" -> null;
      default -> IndexedField.valueOf(field.toUpperCase(Locale.ROOT));
    };
    return new Node() {
      @Override
      public boolean test(Entry e) {
        return value.equals(field(field, e));
      }

      @Override
      public void addConstraints(ConstraintBuilder b) {
        if (indexedField != null) {
          b.equalities.putIfAbsent(indexedField, value);
        }
      }
    };
  }

  private Node numberComparison(String field, String operator, double value) {
    return e -> {
      double n = switch (field) {
        case "attempt" -> e.attempt();
        case "number" -> e.request();
        case "latency_ms" -> e.kind() == Kind.ANSWERED || e.kind() == Kind.OUTCOME ? e.value() / 1000.0 : Double.NaN;
        default -> e.value();
      };
      return compares(operator, n, value);
    };
  }

  /** Compares two numbers. NaN, which stands for a missing number, matches no operator, not even !=. */
  private static boolean compares(String operator, double a, double b) {
    return switch (operator) {
      case "=" -> a == b;
      case "!=" -> a < b || a > b;
      case "<" -> a < b;
      case "<=" -> a <= b;
      case ">" -> a > b;
      case ">=" -> a >= b;
      default -> false;
    };
  }

  private Node timeComparison(String operator, long value) {
    if (operator.equals("~")) {
      throw error("at is a time field: expected = != < <= > or >=");
    }
    return new Node() {
      @Override
      public boolean test(Entry e) {
        int order = Long.compare(e.at(), value);
        return compares(operator, order, 0);
      }

      @Override
      public void addConstraints(ConstraintBuilder b) {
        if (operator.equals("=") || operator.startsWith(">")) {
          b.from = Math.max(b.from, value);
        }
        if (operator.equals("=") || operator.startsWith("<")) {
          b.to = Math.min(b.to, value);
        }
      }
    };
  }
}
