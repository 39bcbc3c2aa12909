package cloverpulley.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.Health;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.Limit;
import cloverpulley.outs.MemberKind;
import cloverpulley.outs.Reply;
import cloverpulley.outs.ResultCode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Commands and states as JSON: input from the network either is valid or is rejected. */
class JsonTest {

  private static final List<Command> ALL = List.of(new Command.Rules(3, Map.of("g", new Limit(1, 0.5, 2)), 2, 500, 0.5, 0.5),
      new Command.Enrol("m", MemberKind.UPSTREAM, List.of("g", "h")), new Command.Strike("m"), new Command.Ask("a", "m", "op", "why", 5, false),
      new Command.Withdraw("a"), new Command.Left("m", 7), new Command.Return("m", "op", 7), new Command.Seen("o", "m", Health.COLD, 6),
      new Command.Halt("h", "op", "why"), new Command.Resume("h", "op"), new Command.Back("", "op"), new Command.Tick());

  @Test
  void writtenValuesCanBeRead() throws IOException {
    DisruptionLedger ledger = new DisruptionLedger();
    long at = 0;
    for (Command c : ALL) {
      assertEquals(c, Json.read(Json.write(c), Command.class));
      Reply r = ledger.apply(++at, at, c);
      assertEquals(r, Json.read(Json.write(r), Reply.class));
      assertEquals(ledger.state(), Json.read(Json.write(ledger.state()), LedgerState.class));
    }
    assertEquals(ALL.size(), Command.class.getPermittedSubclasses().length, "every command is covered");
  }

  /**
   * Replaces each value of each command by null, other types, very long texts and extreme numbers: the command is rejected, or the ledger replies
   * to it. A command that throws in the ledger would stop every voter.
   */
  @Test
  void malformedCommandsDoNotBreakTheLedger() throws IOException {
    int rejected = 0;
    int accepted = 0;
    for (Command c : ALL) {
      String text = new String(Json.write(c), StandardCharsets.UTF_8);
      Matcher value = Pattern.compile("(?<=:)(\"[^\"]*\"|-?[\\d.]+|true|false|\\[[^\\]]*]|\\{[^{}]*})").matcher(text);
      while (value.find()) {
        for (String replacement : List.of("null", "[null]", "{\"g\":null}", "\"\"", "\"" + "x".repeat(10_000) + "\"", "-1",
            "9223372036854775807", "1e400", "{}", "[]")) {
          byte[] changed = (text.substring(0, value.start()) + replacement + text.substring(value.end())).getBytes(StandardCharsets.UTF_8);
          Command read;
          try {
            read = Json.read(changed, Command.class);
          } catch (IOException e) {
            rejected++;
            continue;
          }
          accepted++;
          DisruptionLedger ledger = new DisruptionLedger();
          long at = 0;
          for (Command before : ALL.subList(0, 2)) {
            ledger.apply(++at, at, before);
          }
          assertNotNull(ledger.apply(++at, at, read), () -> new String(changed, StandardCharsets.UTF_8));
          assertNotNull(ledger.apply(++at, at, read));
          assertEquals(ledger.state(), Json.read(Json.write(ledger.state()), LedgerState.class));
        }
      }
    }
    assertTrue(rejected > 100 && accepted > 10, rejected + " rejected, " + accepted + " accepted");
  }

  @Test
  void unknownCommandsAndPropertiesAreRejected() {
    for (String text : List.of("{\"do\":\"vanish\"}", "{\"do\":\"tick\",\"more\":1}", "{\"do\":\"strike\"}", "{", "null", "[]", "")) {
      assertThrows(IOException.class, () -> Json.read(text.getBytes(StandardCharsets.UTF_8), Command.class), text);
    }
  }

  /** The deadline of a very long wait must not overflow, which would end the wait at once. */
  @Test
  void aVeryLongWaitDoesNotExpire() {
    DisruptionLedger ledger = new DisruptionLedger();
    ledger.apply(1, 1, new Command.Enrol("m", MemberKind.UPSTREAM, List.of()));
    ledger.apply(2, 1, new Command.Halt("h", "op", ""));
    assertEquals(ResultCode.WAITING, ledger.apply(3, 1_700_000_000_000L, new Command.Ask("a", "m", "op", "", Long.MAX_VALUE, false)).word());
    assertEquals(1, ledger.queueLength());
  }
}
