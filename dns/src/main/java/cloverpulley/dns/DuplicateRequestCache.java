package cloverpulley.dns;

import java.net.InetAddress;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects retransmitted UPDATEs and NOTIFYs over UDP, so that they don't run twice: a client that gets no answer sends the same datagram
 * again. While the original is in progress a duplicate is dropped, as the answer is still to come; afterwards it gets the same answer.
 */
final class DuplicateRequestCache {

  /** Identifies a message by its sender and content. */
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

  private static final class Entry {
    byte[] answer;
    long updatedAt;
  }

  private final int maxEntries;
  private final long ttlNanos;
  private final Map<Key, Entry> entries = new LinkedHashMap<>();

  DuplicateRequestCache(int maxEntries, long ttlNanos) {
    this.maxEntries = maxEntries;
    this.ttlNanos = ttlNanos;
  }

  /** Whether the message is a duplicate. */
  boolean isKnown(Key key) {
    return entries.containsKey(key);
  }

  /** The answer to the original; null while it is in progress. */
  byte[] answer(Key key) {
    return entries.get(key).answer;
  }

  /** Adds a new message. Returns false if the cache is full, in which case a duplicate would not be detected. */
  boolean tryAdd(Key key, long now) {
    evictExpired(now);
    if (entries.size() >= maxEntries) {
      return false;
    }
    Entry entry = new Entry();
    entry.updatedAt = now;
    entries.put(key, entry);
    return true;
  }

  void complete(Key key, byte[] octets, long now) {
    Entry entry = entries.remove(key);
    if (entry != null) {
      entry.answer = octets;
      entry.updatedAt = now;
      entries.put(key, entry); // Answered entries are ordered by answer time.
    }
  }

  private void evictExpired(long now) {
    for (Iterator<Entry> i = entries.values().iterator(); i.hasNext(); ) {
      Entry entry = i.next();
      if (now - entry.updatedAt < ttlNanos) {
        return;
      } else if (entry.answer != null) {
        i.remove();
      }
    }
  }

  int size() {
    return entries.size();
  }
}
