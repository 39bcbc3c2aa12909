package cloverpulley.agree;

import cloverpulley.outs.Command;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Locale;

/**
 * Reads and writes commands, replies and states as JSON, for the log, its snapshots and the API. The property "do" of a command holds its class
 * name in lower case.
 */
public final class Json {

  private static final int MAX_NESTING_DEPTH = 20;

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
  private interface TypedByName {}

  private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build()).build())
      // Only record components, not methods such as isSuccess().
      .disable(MapperFeature.AUTO_DETECT_IS_GETTERS).build()
      .addMixIn(Command.class, TypedByName.class)
      // An older release must not apply a newer command only in part.
      .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
      .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

  static {
    MAPPER.registerSubtypes(Arrays.stream(Command.class.getPermittedSubclasses())
        .map(c -> new NamedType(c, c.getSimpleName().toLowerCase(Locale.ROOT))).toArray(NamedType[]::new));
  }

  private Json() {}

  /** Writes a value as JSON. */
  public static byte[] write(Object value) {
    try {
      // A command is written by its interface, so that the type name is included.
      return value instanceof Command ? MAPPER.writerFor(Command.class).writeValueAsBytes(value) : MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads a value; throws if the text is not such a value or has properties that this release does not know. */
  public static <T> T read(byte[] text, Class<T> type) throws IOException {
    T value = MAPPER.readValue(text, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName().toLowerCase(Locale.ROOT) + ", got nothing");
    }
    return value;
  }
}
