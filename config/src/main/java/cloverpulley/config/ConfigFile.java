package cloverpulley.config;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** A file of the operators (TOML 1.0): read whole, with all that is wrong in it said at once. */
public final class ConfigFile {

  /** A longer file is no configuration. */
  private static final long MOST_BYTES = 1 << 20;

  private ConfigFile() {}

  /**
   * Reads a file.
   *
   * @param reader makes of the whole file what its user needs; whatever it does not ask for is unknown
   * @throws InvalidConfigException names every key at fault, its line and what was expected
   */
  public static <T> T read(Path path, Function<Section, T> reader) throws InvalidConfigException {
    Problems problems = new Problems();
    String text;
    try {
      if (Files.size(path) > MOST_BYTES) {
        problems.add("", 0, "longer than " + MOST_BYTES + " bytes");
        throw new InvalidConfigException(path.toString(), problems.all());
      }
      text = Files.readString(path);
    } catch (CharacterCodingException e) {
      problems.add("", 0, "not UTF-8");
      throw new InvalidConfigException(path.toString(), problems.all());
    } catch (IOException e) {
      problems.add("", 0, "can't be read: " + e);
      throw new InvalidConfigException(path.toString(), problems.all());
    }
    return parse(path.toString(), text, reader);
  }

  /** The same for a text; {@code name} is what messages call it. */
  public static <T> T parse(String name, String text, Function<Section, T> reader) throws InvalidConfigException {
    TomlParseResult parsed = Toml.parse(text);
    Problems problems = new Problems();
    if (parsed.hasErrors()) {
      // What is not TOML is not read further: half a file would be full of errors that are not there.
      for (TomlParseError error : parsed.errors()) {
        problems.add("", error.position().line(), "not TOML: " + error.getMessage().replace('\n', ' '));
      }
      throw new InvalidConfigException(name, problems.all());
    }
    Section root = new Section(parsed, "", 0, problems);
    T read = null;
    try {
      read = reader.apply(root);
    } catch (IllegalArgumentException e) {
      // Values that are right each by itself and make no sense together, where a record says so.
      if (problems.isEmpty()) {
        problems.add("", 0, e.getMessage());
      }
    }
    root.close();
    if (!problems.isEmpty()) {
      throw new InvalidConfigException(name, problems.all());
    }
    return read;
  }
}
