package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class CookiesTest {

  private static final HexFormat HEX = HexFormat.of();

  /** The example of RFC 9018, appendix A.1: a client at 198.51.100.100 on 2019-06-05 12:42:30 UTC. */
  @Test
  void createsTheCookieOfRfc9018() {
    Cookies cookies = new Cookies(HEX.parseHex("e5e973e5a6b2a43f48e7dc849e37bfcf"));
    byte[] address = {(byte) 198, 51, 100, 100};
    byte[] made = cookies.create(HEX.parseHex("2464c4abcf10c957"), address, 1559731985L);
    assertEquals("2464c4abcf10c957010000005cf79f111f8130c3eee29480", HEX.formatHex(made));
    assertTrue(cookies.isValid(made, address, 1559731985L));
  }

  /** Test vectors of SipHash's authors: key 00..0f, inputs 00, 01, ... by length. */
  @Test
  void sipHashMatchesTheReferenceVectors() {
    byte[] key = new byte[16];
    byte[] input = new byte[16];
    for (int i = 0; i < 16; i++) {
      key[i] = (byte) i;
      input[i] = (byte) i;
    }
    Cookies c = new Cookies(key);
    assertEquals(0x726fdb47dd0e0e31L, c.sipHash(new byte[0]));
    assertEquals(0xa129ca6149be45e5L, c.sipHash(Arrays.copyOf(input, 15)));
  }

  @Test
  void cookieIsValidForItsAddressAndOneHour() {
    Cookies cookies = new Cookies(new byte[16]);
    byte[] mine = {10, 0, 0, 1};
    byte[] cookie = cookies.create(new byte[] {1, 2, 3, 4, 5, 6, 7, 8}, mine, 10_000);
    assertTrue(cookies.isValid(cookie, mine, 13_600));
    assertFalse(cookies.isValid(cookie, mine, 13_601));
    assertTrue(cookies.isValid(cookie, mine, 9_700));
    assertFalse(cookies.isValid(cookie, mine, 9_699));
    assertFalse(cookies.isValid(cookie, new byte[] {10, 0, 0, 2}, 10_000));
    cookie[20] ^= 1;
    assertFalse(cookies.isValid(cookie, mine, 10_000));
    assertFalse(cookies.isValid(Arrays.copyOf(cookie, 8), mine, 10_000));
    assertArrayEquals(new byte[] {1, 2, 3, 4, 5, 6, 7, 8}, Arrays.copyOf(cookie, 8));
  }
}
