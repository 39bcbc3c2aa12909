package cloverpulley.incident.tool;

/** Sanitizes untrusted text for output. Tenants, IDs and names come from requests and may contain anything. */
public final class Sanitizer {

  private static final int MAX_LENGTH = 200;

  private Sanitizer() {}

  /** Escapes for HTML text and quoted attributes. */
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

  /** Replaces control and bidirectional formatting characters and unpaired surrogates, and truncates long text. */
  public static String printable(String s) {
    if (s == null) {
      return "";
    }
    StringBuilder t = new StringBuilder();
    for (int i = 0; i < s.length() && t.length() < MAX_LENGTH; i++) {
      char c = s.charAt(i);
      boolean bidiControl = c >= '\u202A' && c <= '\u202E' || c >= '\u2066' && c <= '\u2069' || c == '\u200E' || c == '\u200F';
      boolean unpairedSurrogate = Character.isSurrogate(c) && !(i + 1 < s.length() && Character.isSurrogatePair(c, s.charAt(i + 1))
          || i > 0 && Character.isSurrogatePair(s.charAt(i - 1), c));
      t.append(Character.isISOControl(c) || bidiControl || unpairedSurrogate || c == '\uFFFE' || c == '\uFFFF' ? '?' : c);
    }
    return s.length() > MAX_LENGTH ? t + "..." : t.toString();
  }
}
