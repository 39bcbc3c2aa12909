/** Servers write their answer in ten pieces, in chunked encoding: the first at once, the others half a second apart. */
final class Pieces {

  private static final int PIECES = 10;
  private static final int PAUSE_MILLIS = 500;

  private Pieces() {}

  public static void main(String[] args) throws Exception {
    Lab.run(lab -> LongAnswers.holds(lab, out -> {
      byte[] piece = new byte[LongAnswers.BYTES / PIECES];
      byte[] chunk = Lab.join((Integer.toHexString(piece.length) + "\r\n").getBytes(), piece, "\r\n".getBytes());
      out.write(Lab.join("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(), chunk));
      for (int i = 1; i < PIECES; i++) {
        if (lab.trouble) {
          Thread.sleep(PAUSE_MILLIS);
        }
        out.write(chunk);
      }
      out.write("0\r\n\r\n".getBytes());
    }));
  }
}
