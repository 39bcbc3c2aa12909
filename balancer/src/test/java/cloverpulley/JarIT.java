package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the packaged jar in a separate process. */
class JarIT {

  @TempDir
  Path folder;

  private int run(String input, String... args) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-jar", System.getProperty("jar")));
    command.addAll(List.of(args));
    Files.writeString(folder.resolve("in"), input);
    Process process = new ProcessBuilder(command).redirectInput(file("in")).redirectOutput(file("out"))
        .redirectError(file("err")).start();
    assertTrue(process.waitFor(1, TimeUnit.MINUTES), "did not end at the end of its input");
    return process.exitValue();
  }

  private File file(String name) {
    return folder.resolve(name).toFile();
  }

  private String text(String name) throws IOException {
    return Files.readString(folder.resolve(name), StandardCharsets.UTF_8);
  }

  @Test
  void aRequestIsForwarded() throws IOException, InterruptedException {
    String start = "{\"clock-ns\":1000,\"groups\":[{\"balancer\":0,\"msgs\":[{\"Provision\":{\"seed\":1,\"boot-info\":"
        + "{\"categories\":[{\"name\":\"c\",\"aim-ns\":400000000,\"deadline-ns\":2000000000,"
        + "\"effect\":\"idempotent\"}]}}},{\"Topology\":{\"kind\":\"C\",\"stamp\":1,\"entries\":[{\"upstream\":7,"
        + "\"region-part\":\"\",\"pack\":0,\"stage-state\":\"up\",\"capacity-hint\":1}]}}]}]}\n";
    String job = "{\"clock-ns\":2000,\"groups\":[{\"balancer\":0,\"msgs\":[{\"JobIn\":{\"rid\":\"a\",\"service\":\"c\","
        + "\"drop-dead-ns\":900000000}}]}]}\n";
    assertEquals(0, run(start + job, "drill"), text("err"));
    assertTrue(text("out").contains("{\"Deliver\":{\"rid\":\"a\","), text("out"));
    assertEquals("", text("err"));
  }

  /** Guards the balancer's start time and memory: classes and dependencies that only other frontends need must not be in its jar. */
  @Test
  void theJarHoldsNothingOfOtherFrontends() throws IOException {
    try (JarFile jar = new JarFile(System.getProperty("jar"))) {
      List<String> names = jar.stream().map(JarEntry::getName).toList();
      for (String other : List.of("cloverpulley/repeats/", "cloverpulley/names/", "cloverpulley/dns/",
          "cloverpulley/fleet/", "cloverpulley/config/", "cloverpulley/processor/", "cloverpulley/load/", "org/xbill/", "com/github/",
          "io/grpc/", "com/google/", "org/tomlj/", "picocli/", "org/HdrHistogram/")) {
        assertTrue(names.stream().noneMatch(n -> n.startsWith(other)), other);
      }
    }
  }

  private Process serve(String config) throws IOException {
    Files.writeString(folder.resolve("config"), config);
    ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-jar", System.getProperty("jar"), "serve").redirectError(file("err"));
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config").toString());
    return builder.start();
  }

  @Test
  void aBalancerServesUntilSigtermAndEndsWithStatusZero() throws IOException, InterruptedException {
    Process process = serve(Files.readString(Path.of("deploy/example.json")));
    try {
      Matcher serves = Pattern.compile("serves at /127.0.0.1:(\\d+)").matcher(text("err"));
      while (!serves.find()) {
        assertTrue(process.isAlive(), text("err"));
        Thread.sleep(10);
        serves = serves.reset(text("err"));
      }
      try (Socket client = new Socket("127.0.0.1", Integer.parseInt(serves.group(1)))) {
        client.getOutputStream().write("GET /api HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertTrue(new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII))
            .readLine().startsWith("HTTP/1.1 400 "));
        process.destroy();
        assertTrue(process.waitFor(1, TimeUnit.MINUTES), "an idle client delays the shutdown");
      }
      assertEquals(0, process.exitValue(), text("err"));
      assertTrue(text("err").contains("stopped"), text("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Guards against a SIGTERM during startup that is ignored: clients accepted afterwards would be cut off by the SIGKILL that follows. Reading
   * the configuration blocks here.
   */
  @Test
  void sigtermDuringStartupEndsTheProcessAtOnce() throws IOException, InterruptedException {
    assertEquals(0, new ProcessBuilder("mkfifo", file("config").getPath()).start().waitFor());
    ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-jar",
        System.getProperty("jar"), "serve").redirectError(file("err"));
    builder.environment().put("ROUTER_CONFIG", file("config").getPath());
    Process process = builder.start();
    try (FileOutputStream opened = new FileOutputStream(file("config"))) { // Blocks until the process opens it for reading.
      process.destroy();
      assertTrue(process.waitFor(1, TimeUnit.MINUTES), text("err"));
      assertEquals(0, process.exitValue(), text("err"));
      assertTrue(text("err").contains("SIGTERM received before serving"), text("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  /** A JVM started with SIGHUP ignored silently leaves it so, and would never reload: the run command resets it, else it is reported. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anInheritedIgnoredSighupIsResetOrReported(boolean byRun) throws IOException, InterruptedException {
    String config = Files.readString(Path.of("deploy/example.json"));
    Files.writeString(folder.resolve("config"), config);
    Matcher run = Pattern.compile("(?m)^run = '''(.*)'''$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    assertTrue(run.find());
    String command = byRun ? run.group(1) : "exec java -jar \"$JAR\" serve";
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; exec /bin/sh -c \"$COMMAND\"").redirectError(file("err"));
    builder.environment().putAll(Map.of("COMMAND", command, "JAR", System.getProperty("jar"), "ROUTER_CONFIG",
        folder.resolve("config").toString(), "TMPDIR", folder.toString()));
    Process process = builder.start();
    try {
      awaitLine(process, "serves at");
      assertEquals(!byRun, text("err").contains("SIGHUP is ignored"), text("err"));
      if (byRun) {
        Files.writeString(folder.resolve("config"), config.replace("127.0.0.1:8500", "127.0.0.1:8501"));
        hangUp(process);
        awaitLine(process, "read again, discovery at /127.0.0.1:8501");
      }
      process.destroy();
      assertTrue(process.waitFor(1, TimeUnit.MINUTES));
      assertEquals(0, process.exitValue(), text("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  /** SIGHUP ends a JVM that does not handle it. */
  @Test
  void sighupReloadsTheConfigurationAndAnInvalidOneIsOneLine() throws IOException, InterruptedException {
    String config = Files.readString(Path.of("deploy/example.json"));
    Process process = serve(config);
    try {
      awaitLine(process, "serves at");
      Files.writeString(folder.resolve("config"), config.replace("127.0.0.1:8500", "127.0.0.1:8501"));
      hangUp(process);
      awaitLine(process, "read again, discovery at /127.0.0.1:8501");
      Files.writeString(folder.resolve("config"), "{");
      hangUp(process);
      awaitLine(process, "configuration rejected, the previous one stays in effect");
      process.destroy();
      assertTrue(process.waitFor(1, TimeUnit.MINUTES), "SIGTERM is no longer handled");
      assertEquals(0, process.exitValue(), text("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  private static void hangUp(Process process) throws IOException, InterruptedException {
    assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private void awaitLine(Process process, String what) throws IOException, InterruptedException {
    while (!text("err").contains(what)) {
      assertTrue(process.isAlive(), text("err"));
      Thread.sleep(10);
    }
  }

  @Test
  void anInvalidConfigurationIsOneLine() throws IOException, InterruptedException {
    for (String config : List.of("", "{", "{}", "{\"seed\":\"x\",\"name\":\"n\"}",
        Files.readString(Path.of("deploy/example.json")).replace("127.0.0.1:0", "somewhere:8000"),
        Files.readString(Path.of("deploy/example.json")).replace("400000000", "-4"))) {
      Process process = serve(config);
      assertTrue(process.waitFor(1, TimeUnit.MINUTES), "did not end");
      assertEquals(1, process.exitValue());
      assertEquals(1, text("err").lines().count(), text("err"));
      assertTrue(text("err").startsWith("can't start: "), text("err"));
    }
  }

  @Test
  void malformedInputAndWrongUsageHaveTheDocumentedStatus() throws IOException, InterruptedException {
    assertEquals(1, run("{\n", "drill"));
    assertEquals(1, text("err").lines().count(), text("err"));
    assertEquals(2, run("", "proxy"));
    assertTrue(text("err").startsWith("usage: "), text("err"));
  }
}
