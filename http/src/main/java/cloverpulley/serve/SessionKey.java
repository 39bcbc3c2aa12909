package cloverpulley.serve;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;

/** The key that a client's cookie names. */
final class SessionKey {

  private SessionKey() {}

  /** The cookie's value, or its hash where it is longer than {@code maxLength} characters; null for none. Cookies that can't be read name none. */
  static String of(HttpHeaders headers, int maxLength) {
    for (String header : headers.getAll(HttpHeaderNames.COOKIE)) {
      try {
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(header)) {
          if (cookie.name().equals(Frontend.KEY_COOKIE)) {
            // Guards the memory: keys are kept, and a long one counts by its hash.
            String value = cookie.value();
            return value.length() <= maxLength ? value : Integer.toHexString(value.hashCode());
          }
        }
      } catch (IllegalArgumentException e) {
        continue; // Guards the answer: a name of control characters alone is one that the decoder throws at.
      }
    }
    return null;
  }
}
