/** Servers send a 103 ahead of their answer, in the same write. */
final class EarlyHints {

  private EarlyHints() {}

  public static void main(String[] args) throws Exception {
    Lab.run(lab -> LongAnswers.holds(lab, out -> {
      byte[] hint = lab.trouble ? "HTTP/1.1 103 Early Hints\r\nLink: </quote.css>; rel=preload\r\n\r\n".getBytes() : new byte[0];
      byte[] head = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + LongAnswers.BYTES + "\r\n\r\n").getBytes();
      out.write(Lab.join(hint, head, new byte[LongAnswers.BYTES]));
    }));
  }
}
