package cloverpulley.dns;

import java.net.InetAddress;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * UPDATEs and NOTIFYs that came over UDP: a client that hears nothing sends the same datagram again, which is not to run again. While
 * the first is in hand the repeat is dropped (the answer will come); after it, the same answer is given once more.
 */
final class DuplicateRequestCache {

  /** Who sent which octets; its hash is the octets' own. */
  static final class Key {
    private final InetAddress address;
    private final int port;
    private final byte[] octets;

    Key(Query q) {
      address = q.client.address();
      port = q.client.port();
      octets = q.message.bytes();
    }

    @Override
    public boolean equals(Object o) {
      return o instanceof Key k && port == k.port && address.equals(k.address) && Arrays.equals(octets, k.octets);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(octets) * 31 + port;
    }
  }

  private static final class Held {
    byte[] answer;
    long at;
  }

  private final int most;
  private final long keepNanos;
  private final Map<Key, Held> held = new LinkedHashMap<>();

  DuplicateRequestCache(int most, long keepNanos) {
    this.most = most;
    this.keepNanos = keepNanos;
  }

  /** Whether it is here already. */
  boolean isKnown(Key key) {
    return held.containsKey(key);
  }

  /** The answer that it got; null while it is in hand. */
  byte[] answer(Key key) {
    return held.get(key).answer;
  }

  /** Notes a new one; false where there is no room, so that its repeat would not be known. */
  boolean taken(Key key, long now) {
    forget(now);
    if (held.size() >= most) {
      return false;
    }
    Held h = new Held();
    h.at = now;
    held.put(key, h);
    return true;
  }

  void answered(Key key, byte[] octets, long now) {
    Held h = held.remove(key);
    if (h != null) {
      h.answer = octets;
      h.at = now;
      held.put(key, h); // Those answered stand in the order of their answers.
    }
  }

  private void forget(long now) {
    for (Iterator<Held> i = held.values().iterator(); i.hasNext(); ) {
      Held h = i.next();
      if (now - h.at < keepNanos) {
        return;
      } else if (h.answer != null) {
        i.remove();
      }
    }
  }

  int size() {
    return held.size();
  }
}
