package cloverpulley;

import java.util.Arrays;

/** A consistent-hash ring: sorted points, each of which belongs to one member. */
final class Ring {

  /** Low bits of a point, which hold the index of its member: enough for any list. */
  private static final long MEMBER_BITS = 0xffff;

  private final long[] points;

  /** Creates a ring with {@code counts[i]} points for member i; the points depend on the id only, so all processes agree. */
  Ring(long[] ids, int[] counts) {
    points = new long[Arrays.stream(counts).sum()];
    for (int member = 0, n = 0; member < ids.length; member++) {
      for (int i = 0; i < counts[member]; i++) {
        points[n++] = mix(mix(ids[member]) + i) & ~MEMBER_BITS | member;
      }
    }
    Arrays.sort(points);
  }

  /** Returns the index of the first point at or after a hash. */
  int start(long hash) {
    int at = Arrays.binarySearch(points, hash & ~MEMBER_BITS);
    return at < 0 ? -at - 1 : at;
  }

  /** Returns the member at an index; indexes past the last point wrap around. */
  int member(int index) {
    return (int) (points[index % points.length] & MEMBER_BITS);
  }

  /** Mixes the bits of a number. */
  static long mix(long x) {
    long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Returns a number in [0, 1) that depends on the two arguments only. */
  static double fraction(long a, long b) {
    return (mix(a ^ b) >>> 11) * 0x1p-53;
  }
}
