/** Servers write their answer in ten pieces, with half a second before each. */
final class Pieces {

  private static final int PIECES = 10;
  private static final int PAUSE_MILLIS = 500;

  private Pieces() {}

  public static void main(String[] args) throws Exception {
    Lab.run(lab -> LongAnswers.holds(lab, out -> {
      out.write(LongAnswers.head());
      for (int i = 0; i < PIECES; i++) {
        if (lab.trouble) {
          Thread.sleep(PAUSE_MILLIS);
        }
        out.write(new byte[LongAnswers.BYTES / PIECES]);
      }
    }));
  }
}
