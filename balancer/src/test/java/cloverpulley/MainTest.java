package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Exit statuses of the command line, and what it prints to standard output and standard error. */
class MainTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String input, String... args) throws IOException {
    return Main.run(args, Map.of(), new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), new PrintStream(out),
        new PrintStream(err));
  }

  @Test
  void endOfInputIsStatusZero() throws IOException {
    assertEquals(0, run("{\"clock-ns\":1,\"groups\":[]}\n", "drill"));
    assertEquals("{\"groups\":[]}\n", out.toString());
    assertEquals("", err.toString());
  }

  @Test
  void malformedInputIsOneLineAndStatusOne() throws IOException {
    assertEquals(1, run("{\"clock-ns\":1,\"groups\":[]}\n{\"clock-ns\":\n{}\n", "drill"));
    assertEquals("{\"groups\":[]}\n", out.toString(), "no output after that of the last valid line");
    assertEquals(1, err.toString().lines().count(), err.toString());
    assertTrue(err.toString().startsWith("line 2: not JSON"), err.toString());
  }

  @Test
  void aMissingOrUnknownCommandPrintsUsageAndStatusTwo() throws IOException {
    assertEquals(2, run(""));
    assertEquals(2, run("", "proxy"));
    assertEquals(2, run("", "drill", "more"));
    assertEquals("", out.toString());
    assertTrue(err.toString().startsWith("usage: "), err.toString());
  }
}
