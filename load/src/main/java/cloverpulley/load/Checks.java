package cloverpulley.load;

/** Refuses nonsense. */
final class Checks {

  private Checks() {}

  static void require(boolean ok, String what) {
    if (!ok) {
      throw new IllegalArgumentException(what);
    }
  }
}
