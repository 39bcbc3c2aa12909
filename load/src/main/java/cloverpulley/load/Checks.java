package cloverpulley.load;

/** Checks of arguments. */
final class Checks {

  private Checks() {}

  static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
