package cloverpulley.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The upstreams that operators took out, as files in a folder that the processes of one balancer share: one a name, made and
 * removed whole by the file system, so that there is nothing to be torn, cut or locked, and the last call counts whichever
 * process it came to. A file's time is when the upstream was taken out. One thread at a time in each process.
 */
public final class Outs {

  /** The longest name, in bytes of UTF-8: in hexadecimal figures a file system's longest. */
  public static final int MOST_BYTES = 100;
  /** The most that are out at one time. Guards the folder, which counts as memory. */
  public static final int MOST = 4096;
  private static final String PREFIX = "out-";

  private final Path folder;

  /** {@code folder} is made where there is none. */
  public Outs(Path folder) throws IOException {
    this.folder = Files.createDirectories(folder);
  }

  /** Whether a name can be kept. */
  public static boolean fits(String id) {
    byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
    return bytes.length > 0 && bytes.length <= MOST_BYTES;
  }

  /** Takes an upstream out; one that is out already stays so since when it was. False where there is no room for more. */
  public boolean add(String id) throws IOException {
    Path file = file(id);
    if (Files.exists(file)) {
      return true;
    }
    if (all().size() >= MOST) {
      return false;
    }
    Files.write(file, new byte[0], StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    return true;
  }

  /** Calls an upstream back. */
  public void remove(String id) throws IOException {
    Files.deleteIfExists(file(id));
  }

  /** All that are out, with the Unix time in milliseconds since when. */
  public Map<String, Long> all() throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.list(folder)) {
      files = found.filter(f -> f.getFileName().toString().startsWith(PREFIX)).sorted().toList();
    }
    Map<String, Long> out = new LinkedHashMap<>();
    for (Path file : files) {
      try {
        out.put(name(file), Files.getLastModifiedTime(file).toMillis());
      } catch (NoSuchFileException e) {
        continue; // Called back in this moment.
      } catch (IllegalArgumentException | CharacterCodingException e) {
        continue; // Not made by this program.
      }
    }
    return out;
  }

  private Path file(String id) {
    return folder.resolve(PREFIX + HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8)));
  }

  private static String name(Path file) throws CharacterCodingException {
    byte[] bytes = HexFormat.of().parseHex(file.getFileName().toString().substring(PREFIX.length()));
    return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
  }
}
