package cloverpulley.agree;

import cloverpulley.outs.Command;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Locale;

/** Commands, replies and states as text, for the log, its snapshots and the way in. A command's form is its name in lower case. */
public final class Json {

  private static final int MOST_DEPTH = 20;

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
  private interface Named {}

  private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MOST_DEPTH).build()).build())
      // A record's parts, and nothing that it works out of them.
      .disable(MapperFeature.AUTO_DETECT_IS_GETTERS).build()
      .addMixIn(Command.class, Named.class)
      // An older program does not act on half of what a newer one says.
      .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
      .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

  static {
    MAPPER.registerSubtypes(Arrays.stream(Command.class.getPermittedSubclasses())
        .map(c -> new NamedType(c, c.getSimpleName().toLowerCase(Locale.ROOT))).toArray(NamedType[]::new));
  }

  private Json() {}

  /** The text of a value. */
  public static byte[] write(Object value) {
    try {
      // By its interface, so that a command's name is written.
      return value instanceof Command ? MAPPER.writerFor(Command.class).writeValueAsBytes(value) : MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The value of a text; throws where it is no such value, or one with more than this program knows. */
  public static <T> T read(byte[] text, Class<T> type) throws IOException {
    T value = MAPPER.readValue(text, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName().toLowerCase(Locale.ROOT) + ", got nothing");
    }
    return value;
  }
}
