package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The command of service, with a stand-in for the virtual machine on an otherwise empty PATH: where starting programs and fork
 * are refused, it has to become the virtual machine with nothing but what the shell itself has.
 */
@Timeout(value = Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class LaunchCommandTest {

  @TempDir
  private Path folder;

  private static String run() throws IOException {
    Matcher m = Pattern.compile("(?m)^run = '''(.*)'''$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(m.find(), "deploy/balancer.toml has no run in one line");
    return m.group(1);
  }

  /** The process's number and the arguments that the virtual machine would have got. */
  private record Started(long pid, List<String> lines, String errors) {}

  private Started start(String config) throws Exception {
    return start(config, "");
  }

  private Started start(String config, String management) throws Exception {
    Path java = Files.createDirectories(folder.resolve("bin")).resolve("java");
    Files.writeString(java, "#!/bin/sh\necho $$\nfor a; do echo \"$a\"; done\n");
    assertTrue(java.toFile().setExecutable(true));
    Path file = folder.resolve("config.json");
    Files.writeString(file, config);
    File out = folder.resolve("out").toFile();
    File errors = folder.resolve("errors").toFile();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run()).redirectOutput(out).redirectError(errors);
    builder.environment().put("PATH", java.getParent().toString());
    builder.environment().put("ROUTER_CONFIG", file.toString());
    builder.environment().put("ROUTER_MANAGEMENT", management);
    Process process = builder.start();
    process.waitFor();
    return new Started(process.pid(), Files.readAllLines(out.toPath()),
        Files.readString(errors.toPath(), StandardCharsets.UTF_8));
  }

  /** Before, sed in a subshell read the figure: half of what 64 MB leave, 12 MB at least, 64 MB at most. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
    "{\"limits\":{\"cores\":1.0,\"memory_mb\":32,\"sockets\":4}}|12|4",
    "{\"limits\":{\"cores\":1.0,\"memory_mb\" : 128}}~|32|16",
    "{\"limits\":{\"memory_mb\":144}}|40|18",
    "{~  \"limits\": {~    \"memory_mb\": 192,~    \"sockets\": 1024~  }~}~|64|24",
    "{\"limits\":{\"memory_mb\":~128}}|32|16",
    "{\"limits\":{\"memory_mb\":2048}}|64|256",
    "{\"limits\":{\"memory_mb\":null,\"sockets\":7}}|64|24",
    "{\"limits\":{\"sockets\":32}}|64|24",
    "{\"memory_mb\":}|64|24",
    "{}|64|24",
    "``|64|24"})
  void theHeapFollowsTheLimit(String config, int heap, int direct) throws Exception {
    Started started = start(config.replace("~", "\n"));
    assertEquals("", started.errors());
    assertTrue(started.lines().contains("-Xms" + heap + "m"), started::toString);
    assertTrue(started.lines().contains("-Xmx" + heap + "m"), started::toString);
    assertTrue(started.lines().contains("-XX:MaxDirectMemorySize=" + direct + "m"), started::toString);
  }

  /** Two processes share the limit wherever the management endpoint is told of: an eighth of it at first, and no more than half of it beside 52 MB. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
    "{\"management\":\"127.0.0.1:1\",\"limits\":{\"memory_mb\":208}}|``|26|48",
    "{\"limits\":{\"memory_mb\":144},\"management\":\"127.0.0.1:1\"}|``|18|24",
    "{\"limits\":{\"memory_mb\":192}}|127.0.0.1:1|24|44",
    "{\"limits\":{\"memory_mb\":256}}|127.0.0.1:1|32|48",
    "{\"limits\":{\"memory_mb\":64}}|127.0.0.1:1|12|24",
    "{\"limits\":{\"memory_mb\":2048}}|127.0.0.1:1|48|48"})
  void theHeapOfOneOfTwoProcessesLeavesTheOtherItsPart(String config, String management, int first, int most) throws Exception {
    Started started = start(config, management);
    assertEquals("", started.errors());
    assertTrue(started.lines().contains("-Xms" + first + "m"), started::toString);
    assertTrue(started.lines().contains("-Xmx" + most + "m"), started::toString);
    assertTrue(started.lines().contains("-XX:MaxNewSize=" + first * 2 / 5 + "m"), started::toString);
  }

  /** A balancer has one core at most: the virtual machine starts no further compiler threads while it serves, however many the machine has. */
  @Test
  void oneThreadCompiles() throws Exception {
    List<String> flags = start("{\"limits\":{\"memory_mb\":192}}").lines().stream().filter(l -> l.startsWith("-XX:") && !l.contains("SharedArchiveFile")).toList();
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(flags);
    command.addAll(List.of("-XX:+PrintFlagsFinal", "-version"));
    File printed = folder.resolve("flags").toFile();
    assertEquals(0, new ProcessBuilder(command).redirectOutput(printed).redirectError(folder.resolve("version").toFile()).start().waitFor(),
        () -> "not taken: " + command);
    String all = Files.readString(printed.toPath());
    assertTrue(Pattern.compile("CICompilerCount +:?= 1 ").matcher(all).find(), all);
  }

  /** The process that was started is the virtual machine, and neither a subshell nor a pipe nor a job came before it. */
  @Test
  void itStartsNothingElse() throws Exception {
    Started started = start("{\"limits\":{\"memory_mb\":192}}");
    assertEquals(String.valueOf(started.pid()), started.lines().get(0));
    String line = run().replaceAll("\\$\\(\\(.*?\\)\\)", "").replace("||", "");
    assertFalse(Pattern.compile("\\$\\(|[`|&]|(^|[;\\s])\\(").matcher(line).find(), line);
  }
}
