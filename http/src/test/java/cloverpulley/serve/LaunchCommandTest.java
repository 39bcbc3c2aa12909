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
 * The `run` command of the deployment, with a stand-in for the virtual machine on an otherwise empty PATH: where fork and starting other
 * programs are forbidden, it has to exec the virtual machine with shell built-ins alone.
 */
@Timeout(value = Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class LaunchCommandTest {

  @TempDir
  private Path folder;

  private static String runCommand() throws IOException {
    Matcher m = Pattern.compile("(?m)^run = '''(.*)'''$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(m.find(), "deploy/balancer.toml has no run command in one line");
    return m.group(1);
  }

  /** The pid of the process, and the pid and arguments that the virtual machine was started with. */
  private record LaunchResult(long pid, List<String> lines, String errors) {}

  private LaunchResult start(String config) throws Exception {
    return start(config, "");
  }

  private LaunchResult start(String config, String management) throws Exception {
    Path java = Files.createDirectories(folder.resolve("bin")).resolve("java");
    Files.writeString(java, "#!/bin/sh\necho $$\nfor a; do echo \"$a\"; done\n");
    assertTrue(java.toFile().setExecutable(true));
    Path file = folder.resolve("config.json");
    Files.writeString(file, config);
    File out = folder.resolve("out").toFile();
    File errors = folder.resolve("errors").toFile();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).redirectOutput(out).redirectError(errors);
    builder.environment().put("PATH", java.getParent().toString());
    builder.environment().put("ROUTER_CONFIG", file.toString());
    builder.environment().put("ROUTER_MANAGEMENT", management);
    Process process = builder.start();
    process.waitFor();
    return new LaunchResult(process.pid(), Files.readAllLines(out.toPath()),
        Files.readString(errors.toPath(), StandardCharsets.UTF_8));
  }

  /** The heap is (limit - 64 MB) / 2, at least 12 MB and at most 64 MB. The limit used to be read by sed in a subshell. */
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
  void heapFollowsMemoryLimit(String config, int heap, int direct) throws Exception {
    LaunchResult result = start(config.replace("~", "\n"));
    assertEquals("", result.errors());
    assertTrue(result.lines().contains("-Xms" + heap + "m"), result::toString);
    assertTrue(result.lines().contains("-Xmx" + heap + "m"), result::toString);
    assertTrue(result.lines().contains("-XX:MaxDirectMemorySize=" + direct + "m"), result::toString);
  }

  /**
   * With a management endpoint two processes may share the limit: the heap starts at an eighth of it (12 MB at least), and its maximum is
   * half of it minus 52 MB (between 24 and 48 MB).
   */
  @ParameterizedTest
  @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
    "{\"management\":\"127.0.0.1:1\",\"limits\":{\"memory_mb\":208}}|``|26|48",
    "{\"limits\":{\"memory_mb\":144},\"management\":\"127.0.0.1:1\"}|``|18|24",
    "{\"limits\":{\"memory_mb\":192}}|127.0.0.1:1|24|44",
    "{\"limits\":{\"memory_mb\":256}}|127.0.0.1:1|32|48",
    "{\"limits\":{\"memory_mb\":64}}|127.0.0.1:1|12|24",
    "{\"limits\":{\"memory_mb\":2048}}|127.0.0.1:1|48|48"})
  void heapLeavesMemoryForSecondProcess(String config, String management, int initialHeap, int maxHeap) throws Exception {
    LaunchResult result = start(config, management);
    assertEquals("", result.errors());
    assertTrue(result.lines().contains("-Xms" + initialHeap + "m"), result::toString);
    assertTrue(result.lines().contains("-Xmx" + maxHeap + "m"), result::toString);
    assertTrue(result.lines().contains("-XX:MaxNewSize=" + initialHeap * 2 / 5 + "m"), result::toString);
  }

  /** A balancer has at most one core: the virtual machine uses one compiler thread, however many cores the machine has. */
  @Test
  void oneCompilerThread() throws Exception {
    List<String> flags = start("{\"limits\":{\"memory_mb\":192}}").lines().stream().filter(l -> l.startsWith("-XX:") && !l.contains("SharedArchiveFile")).toList();
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(flags);
    command.addAll(List.of("-XX:+PrintFlagsFinal", "-version"));
    File printed = folder.resolve("flags").toFile();
    assertEquals(0, new ProcessBuilder(command).redirectOutput(printed).redirectError(folder.resolve("version").toFile()).start().waitFor(),
        () -> "flags rejected: " + command);
    String all = Files.readString(printed.toPath());
    assertTrue(Pattern.compile("CICompilerCount +:?= 1 ").matcher(all).find(), all);
  }

  /** The started process itself becomes the virtual machine, without a subshell, a pipe or a background job before it. */
  @Test
  void commandStartsNoOtherProcess() throws Exception {
    LaunchResult result = start("{\"limits\":{\"memory_mb\":192}}");
    assertEquals(String.valueOf(result.pid()), result.lines().get(0));
    String line = runCommand().replaceAll("\\$\\(\\(.*?\\)\\)", "").replace("||", "");
    assertFalse(Pattern.compile("\\$\\(|[`|&]|(^|[;\\s])\\(").matcher(line).find(), line);
  }
}
