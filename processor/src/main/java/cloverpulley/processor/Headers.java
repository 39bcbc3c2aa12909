package cloverpulley.processor;

import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The headers of a request or a response as ext_proc carries them: a value is text or bytes, and need not be UTF-8. */
final class Headers {

  private final HeaderMap map;

  Headers(HeaderMap map) {
    this.map = map;
  }

  int count() {
    return map.getHeadersCount();
  }

  /** The size of names and values in characters: for every header that is read here, this equals its size in bytes. */
  long sizeBytes() {
    long sizeBytes = 0;
    for (HeaderValue header : map.getHeadersList()) {
      // Not their size in UTF-8, because protobuf would encode each string again to return its bytes.
      sizeBytes += header.getKey().length() + header.getValue().length() + header.getRawValue().size();
    }
    return sizeBytes;
  }

  /** The first value of a header, null if there is none; {@code name} is in lower case. */
  String get(String name) {
    for (HeaderValue header : map.getHeadersList()) {
      if (hasName(header, name)) {
        return value(header);
      }
    }
    return null;
  }

  List<String> values(String name) {
    List<String> values = new ArrayList<>(1);
    for (HeaderValue header : map.getHeadersList()) {
      if (hasName(header, name)) {
        values.add(value(header));
      }
    }
    return values;
  }

  private static boolean hasName(HeaderValue header, String name) {
    // Names in HTTP/2 are in lower case; callers that send upper case are tolerated.
    String key = header.getKey();
    return key.length() == name.length() && (key.equals(name) || key.toLowerCase(Locale.ROOT).equals(name));
  }

  /** Decodes bytes as ISO 8859-1, which never fails: a value that is not ASCII matches no known name. */
  private static String value(HeaderValue header) {
    return header.getRawValue().isEmpty() ? header.getValue() : header.getRawValue().toString(StandardCharsets.ISO_8859_1);
  }
}
