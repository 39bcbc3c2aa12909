package cloverpulley.config;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads TOML 1.0 configuration files and reports all problems of a file at once. */
public final class ConfigFile {

  /** A longer file is probably not a configuration file. */
  private static final long MAX_BYTES = 1 << 20;

  private ConfigFile() {}

  /**
   * Reads a file.
   *
   * @param reader converts the file; keys that it does not read are reported as unknown
   * @throws InvalidConfigException lists every invalid key, its line and what was expected
   */
  public static <T> T read(Path path, Function<Section, T> reader) throws InvalidConfigException {
    Problems problems = new Problems();
    String text;
    try {
      if (Files.size(path) > MAX_BYTES) {
        problems.add("", 0, "longer than " + MAX_BYTES + " bytes");
        throw new InvalidConfigException(path.toString(), problems.sorted());
      }
      text = Files.readString(path);
    } catch (CharacterCodingException e) {
      problems.add("", 0, "not UTF-8");
      throw new InvalidConfigException(path.toString(), problems.sorted());
    } catch (IOException e) {
      problems.add("", 0, "can't be read: " + e);
      throw new InvalidConfigException(path.toString(), problems.sorted());
    }
    return parse(path.toString(), text, reader);
  }

  /** The same for a string; error messages call it {@code name}. */
  public static <T> T parse(String name, String text, Function<Section, T> reader) throws InvalidConfigException {
    TomlParseResult parsed = Toml.parse(text);
    Problems problems = new Problems();
    if (parsed.hasErrors()) {
      // Invalid TOML is not converted: the unparsed part would lead to spurious errors.
      for (TomlParseError error : parsed.errors()) {
        problems.add("", error.position().line(), "not TOML: " + error.getMessage().replace('\n', ' '));
      }
      throw new InvalidConfigException(name, problems.sorted());
    }
    Section root = new Section(parsed, "", 0, problems);
    T read = null;
    try {
      read = reader.apply(root);
    } catch (IllegalArgumentException e) {
      // Thrown by records whose values are each valid but inconsistent with each other.
      if (problems.isEmpty()) {
        problems.add("", 0, e.getMessage());
      }
    }
    root.reportUnknownKeys();
    if (!problems.isEmpty()) {
      throw new InvalidConfigException(name, problems.sorted());
    }
    return read;
  }
}
