package cloverpulley.serve;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;

/** Extracts the session key from a request's cookie. */
final class SessionKey {

  private SessionKey() {}

  /** The cookie's value, or its hash if it is longer than {@code maxLength} characters; null for none. Malformed cookies are ignored. */
  static String of(HttpHeaders headers, int maxLength) {
    for (String header : headers.getAll(HttpHeaderNames.COOKIE)) {
      try {
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(header)) {
          if (cookie.name().equals(RequestHeaders.KEY_COOKIE)) {
            // Bounds the memory: keys are kept, and a long one is replaced by its hash.
            String value = cookie.value();
            return value.length() <= maxLength ? value : Integer.toHexString(value.hashCode());
          }
        }
      } catch (IllegalArgumentException e) {
        continue; // The decoder throws on a name of control characters only.
      }
    }
    return null;
  }
}
