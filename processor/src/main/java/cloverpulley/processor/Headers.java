package cloverpulley.processor;

import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The headers of a request or an answer, as the protocol brings them: a value is text or bytes, and need not be UTF-8. */
final class Headers {

  private final HeaderMap map;

  Headers(HeaderMap map) {
    this.map = map;
  }

  int count() {
    return map.getHeadersCount();
  }

  /** Letters of names and values, as many bytes as there are for any header that means something here. */
  long bytes() {
    long bytes = 0;
    for (HeaderValue h : map.getHeadersList()) {
      // Not the bytes themselves: asked for, each would be made of its text anew.
      bytes += h.getKey().length() + h.getValue().length() + h.getRawValue().size();
    }
    return bytes;
  }

  /** The first value of a header, null where there is none; the name is in lower case. */
  String get(String name) {
    for (HeaderValue h : map.getHeadersList()) {
      if (is(h, name)) {
        return value(h);
      }
    }
    return null;
  }

  List<String> all(String name) {
    List<String> values = new ArrayList<>(1);
    for (HeaderValue h : map.getHeadersList()) {
      if (is(h, name)) {
        values.add(value(h));
      }
    }
    return values;
  }

  private static boolean is(HeaderValue h, String name) {
    // HTTP/2 names are in lower case already; a caller that sends others means the same.
    String key = h.getKey();
    return key.length() == name.length() && (key.equals(name) || key.toLowerCase(Locale.ROOT).equals(name));
  }

  /** Bytes that are no text become letters one for one: such a value names nothing known, and breaks nothing. */
  private static String value(HeaderValue h) {
    return h.getRawValue().isEmpty() ? h.getValue() : h.getRawValue().toString(StandardCharsets.ISO_8859_1);
  }
}
