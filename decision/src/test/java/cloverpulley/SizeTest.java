package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The policy is to be ported by hand later, so its size is limited. */
class SizeTest {

  @Test
  void policyStaysWithinItsSizeLimits() throws IOException {
    List<String> lines = Files.readAllLines(Path.of("decision/src/main/java/cloverpulley/Logic.java"));
    long count = lines.stream().filter(l -> !l.isBlank()).count();
    assertTrue(count <= 650, "non-blank lines: " + count);
    lines.forEach(l -> assertTrue(l.length() <= 110, "over 110 columns: " + l));
  }
}
