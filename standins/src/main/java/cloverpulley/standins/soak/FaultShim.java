package cloverpulley.standins.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A shared library, compiled from C with the system compiler, that is preloaded into processes under test and injects failures into their system
 * calls. Each process has its own control file.
 */
public final class FaultShim {

  /** Socket calls that can be made to fail, as bits of a mask. */
  public static final int ACCEPT = 1;
  public static final int SOCKET = 2;
  public static final int CONNECT = 4;
  public static final int NONBLOCK = 8;
  public static final int READ = 16;
  public static final int WRITE = 32;
  public static final int OPTION = 64;
  public static final int BIND = 128;

  /** Linux error numbers for calls on files. */
  public static final int EIO = 5;
  public static final int ENOSPC = 28;
  public static final int EROFS = 30;

  private static final String SOURCE = "faults.c";
  private static final int CONTROL_WORDS = 8;
  private static final int COMPILE_TIMEOUT_S = 60;

  private final Path library;

  private FaultShim(Path library) {
    this.library = library;
  }

  /** Compiles the library in the given folder. */
  public static FaultShim build(Path folder) throws IOException, InterruptedException {
    Path source = folder.resolve(SOURCE);
    try (InputStream in = FaultShim.class.getResourceAsStream(SOURCE)) {
      Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
    }
    Path library = folder.resolve("faults.so");
    Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
        .redirectErrorStream(true).start();
    String output = new String(compiler.getInputStream().readAllBytes());
    if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      throw new IOException("compiling the fault shim failed: " + output);
    }
    return new FaultShim(library);
  }

  /** Creates the control of one process in a file in {@code folder}; calls on files in {@code watched} can be made to fail. */
  public Control control(Path folder, Path watched, long seed) throws IOException {
    return new Control(Files.createTempFile(folder, "faults", ".control"), watched, seed);
  }

  /** The faults of one process; changes take effect immediately. */
  public final class Control {

    private final Path file;
    private final Path watched;
    private final LongBuffer words;

    private Control(Path file, Path watched, long seed) throws IOException {
      this.file = file;
      this.watched = watched;
      try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
        words = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_WORDS * Long.BYTES).order(ByteOrder.nativeOrder()).asLongBuffer();
      }
      words.put(5, seed);
    }

    /** The environment variables for a process under this control. */
    public Map<String, String> environment() {
      return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", file.toString(), "FAULT_FOLDER", watched.toString());
    }

    /** Sets the wall clock ahead by the given number of nanoseconds. */
    public void stepWallClock(long nanos) {
      words.put(0, nanos);
    }

    /** Makes the given socket calls fail at the given rate, per mille; 0 for none. */
    public void failSockets(int perMille, int calls) {
      words.put(2, calls);
      words.put(1, perMille);
    }

    /** Makes all calls on the watched folder fail with the given error; 0 for none. */
    public void failFolder(int error) {
      words.put(3, error);
    }

    /** Makes writes to files in the watched folder store half of the data and then fail. */
    public void partialWrites(boolean on) {
      words.put(4, on ? 1 : 0);
    }

    /** Returns the number of calls that were made to fail. */
    public long failed() {
      return words.get(6);
    }
  }
}
