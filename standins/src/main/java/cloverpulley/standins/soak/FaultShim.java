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
 * A library, built from C by the machine's compiler, that is preloaded into processes under test and has their calls to the system fail. Each process
 * has a control of its own.
 */
public final class FaultShim {

  /** Socket calls that may be made to fail, as bits of a mask. */
  public static final int ACCEPT = 1;
  public static final int SOCKET = 2;
  public static final int CONNECT = 4;
  public static final int NONBLOCK = 8;
  public static final int READ = 16;
  public static final int WRITE = 32;
  public static final int OPTION = 64;
  public static final int BIND = 128;

  /** Error numbers of Linux for calls on files. */
  public static final int EIO = 5;
  public static final int ENOSPC = 28;
  public static final int EROFS = 30;

  private static final String SOURCE = "faults.c";
  private static final int WORDS = 8;
  private static final int COMPILE_LIMIT_S = 60;

  private final Path library;

  private FaultShim(Path library) {
    this.library = library;
  }

  /** Builds the library in a folder. */
  public static FaultShim build(Path folder) throws IOException, InterruptedException {
    Path source = folder.resolve(SOURCE);
    try (InputStream in = FaultShim.class.getResourceAsStream(SOURCE)) {
      Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
    }
    Path library = folder.resolve("faults.so");
    Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
        .redirectErrorStream(true).start();
    String said = new String(compiler.getInputStream().readAllBytes());
    if (!compiler.waitFor(COMPILE_LIMIT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      throw new IOException("the shim was not built: " + said);
    }
    return new FaultShim(library);
  }

  /** A control for one process, kept in a file of this folder; {@code watched} is the folder whose calls may fail. */
  public Control control(Path folder, Path watched, long seed) throws IOException {
    return new Control(Files.createTempFile(folder, "faults", ".control"), watched, seed);
  }

  /** What fails in one process; changes hold at once. */
  public final class Control {

    private final Path file;
    private final Path watched;
    private final LongBuffer words;

    private Control(Path file, Path watched, long seed) throws IOException {
      this.file = file;
      this.watched = watched;
      try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
        words = channel.map(FileChannel.MapMode.READ_WRITE, 0, WORDS * Long.BYTES).order(ByteOrder.nativeOrder()).asLongBuffer();
      }
      words.put(5, seed);
    }

    /** What a process under this control has in its environment. */
    public Map<String, String> environment() {
      return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", file.toString(), "FAULT_FOLDER", watched.toString());
    }

    /** The wall clock is this many nanoseconds ahead. */
    public void stepWallClock(long nanos) {
      words.put(0, nanos);
    }

    /** So many of 1000 of these socket calls fail; 0 for none. */
    public void failSockets(int parts, int calls) {
      words.put(2, calls);
      words.put(1, parts);
    }

    /** All calls on the folder fail with this error; 0 for none. */
    public void failFolder(int error) {
      words.put(3, error);
    }

    /** Writes to files of the folder store half and fail. */
    public void partialWrites(boolean on) {
      words.put(4, on ? 1 : 0);
    }

    /** Calls that were made to fail. */
    public long failed() {
      return words.get(6);
    }
  }
}
