package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.List;
import org.junit.jupiter.api.Test;

class SessionKeyTest {

  private static String of(String... cookies) {
    return SessionKey.of(DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders().add(HttpHeaderNames.COOKIE, List.of(cookies)), 8);
  }

  @Test
  void firstCookieOfThatNameIsUsed() {
    assertEquals("a", of("x=1; sid=a; sid=b"));
    assertNull(of());
    assertNull(of("x=1"));
    assertEquals(Integer.toHexString("123456789".hashCode()), of("sid=123456789"));
  }

  /** HTTP decoding rejects such bytes earlier; the cookie decoder would throw on them and close the connection. */
  @Test
  void malformedCookieIsIgnored() {
    assertNull(of("\u0001=a"));
    assertEquals("b", of("\u0001=a", "sid=b"));
  }
}
