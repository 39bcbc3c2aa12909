package cloverpulley.incident.tool;

/** Text that came from requests, made harmless for where it is shown. Tenants, ids and names are whatever somebody sent. */
public final class Sanitizer {

  private static final int MOST = 200;

  private Sanitizer() {}

  /** For HTML, in text and in attributes within quotes. */
  static String html(String s) {
    StringBuilder t = new StringBuilder();
    for (char c : printable(s).toCharArray()) {
      switch (c) {
        case '&' -> t.append("&amp;");
        case '<' -> t.append("&lt;");
        case '>' -> t.append("&gt;");
        case '"' -> t.append("&quot;");
        case '\'' -> t.append("&#39;");
        default -> t.append(c);
      }
    }
    return t.toString();
  }

  /** For a terminal: nothing that moves the cursor, colours, or turns the direction of writing. */
  public static String printable(String s) {
    if (s == null) {
      return "";
    }
    StringBuilder t = new StringBuilder();
    for (int i = 0; i < s.length() && t.length() < MOST; i++) {
      char c = s.charAt(i);
      boolean turns = c >= '\u202A' && c <= '\u202E' || c >= '\u2066' && c <= '\u2069' || c == '\u200E' || c == '\u200F';
      boolean half = Character.isSurrogate(c) && !(i + 1 < s.length() && Character.isSurrogatePair(c, s.charAt(i + 1))
          || i > 0 && Character.isSurrogatePair(s.charAt(i - 1), c));
      t.append(Character.isISOControl(c) || turns || half || c == '\uFFFE' || c == '\uFFFF' ? '?' : c);
    }
    return s.length() > MOST ? t + "..." : t.toString();
  }
}
