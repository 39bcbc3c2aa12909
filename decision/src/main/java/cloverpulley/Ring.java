package cloverpulley;

import java.util.Arrays;

/** A consistent-hash ring: points in order, each of one member. */
final class Ring {

  /** Low bits of a point that name its member: more members than any list holds. */
  private static final long MEMBER_BITS = 0xffff;

  private final long[] points;

  /** Member i, known by its id wherever the ring is built, gets so many points. */
  Ring(long[] ids, int[] counts) {
    points = new long[Arrays.stream(counts).sum()];
    for (int member = 0, n = 0; member < ids.length; member++) {
      for (int i = 0; i < counts[member]; i++) {
        points[n++] = mix(mix(ids[member]) + i) & ~MEMBER_BITS | member;
      }
    }
    Arrays.sort(points);
  }

  /** The place from which a hash walks the ring. */
  int start(long hash) {
    int at = Arrays.binarySearch(points, hash & ~MEMBER_BITS);
    return at < 0 ? -at - 1 : at;
  }

  /** The member at a place; places past the last go on from the first. */
  int member(int place) {
    return (int) (points[place % points.length] & MEMBER_BITS);
  }

  /** Spreads a number's bits evenly. */
  static long mix(long x) {
    long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** A number from 0 to under 1 that two others always give. */
  static double fraction(long a, long b) {
    return (mix(a ^ b) >>> 11) * 0x1p-53;
  }
}
