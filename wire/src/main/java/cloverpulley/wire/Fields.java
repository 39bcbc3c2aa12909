package cloverpulley.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON object with checked access to its fields. */
public final class Fields {

  private final String path;
  private final Map<?, ?> values;

  public Fields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** The one object that a text holds; {@code name} is what messages call it. */
  public static Fields parse(JsonFactory json, String name, String text) throws IOException {
    try (JsonParser parser = json.createParser(text)) {
      if (parser.nextToken() == null) {
        throw new WireException("expected a " + name + ", got an empty line");
      }
      Object value = read(parser);
      if (parser.nextToken() != null) {
        throw new WireException("expected one value a line, got more");
      }
      return object(name, value);
    }
  }

  /** Reads the value that the parser's current token starts. */
  private static Object read(JsonParser in) throws IOException {
    JsonToken token = in.currentToken();
    switch (token) {
      case START_OBJECT -> {
        Map<String, Object> object = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String name = in.currentName();
          in.nextToken();
          object.put(name, read(in));
        }
        return object;
      }
      case START_ARRAY -> {
        List<Object> array = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          array.add(read(in));
        }
        return array;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NUMBER_INT -> {
        if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
          throw new WireException("number " + in.getText() + " does not fit 64 bits");
        }
        return in.getLongValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        return in.getDoubleValue();
      }
      case VALUE_TRUE, VALUE_FALSE -> {
        return in.getBooleanValue();
      }
      default -> {
        return null;
      }
    }
  }

  /** Casts a value to an object, or says what was expected. */
  public static Fields object(String path, Object value) {
    if (value instanceof Map<?, ?> map) {
      return new Fields(path, map);
    }
    throw bad(path, "an object", value);
  }

  private static WireException bad(String path, String expected, Object value) {
    return new WireException("field " + path + ": expected " + expected + ", got "
        + (value == null ? "nothing" : value instanceof String ? "\"" + value + "\"" : value.toString()));
  }

  private WireException bad(String name, String expected) {
    return bad(path + "." + name, expected, values.get(name));
  }

  public Map<?, ?> values() {
    return values;
  }

  public String path() {
    return path;
  }

  public boolean has(String name) {
    return values.get(name) != null;
  }

  /** A whole number that has to be there. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw bad(name, "a whole number");
  }

  public long integer(String name, long absent) {
    return has(name) ? integer(name) : absent;
  }

  /** A whole number that fits 32 bits. */
  public int int32(String name, int absent) {
    long number = integer(name, absent);
    if (number != (int) number) {
      throw bad(name, "a whole number of at most 32 bits");
    }
    return (int) number;
  }

  public double number(String name, double absent) {
    if (!has(name)) {
      return absent;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw bad(name, "a number");
  }

  public boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw bad(name, "true or false");
  }

  public boolean bool(String name, boolean absent) {
    return has(name) ? bool(name) : absent;
  }

  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw bad(name, "a text");
  }

  public String text(String name, String absent) {
    return has(name) ? text(name) : absent;
  }

  /** A nested object; an empty one where it is absent. */
  public Fields nested(String name) {
    return has(name) ? object(path + "." + name, values.get(name)) : new Fields(path + "." + name, Map.of());
  }

  /** An array of objects that has to be there. */
  public List<Fields> objects(String name) {
    if (!(values.get(name) instanceof List<?> list)) {
      throw bad(name, "an array");
    }
    List<Fields> out = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      out.add(object(path + "." + name + "[" + i + "]", list.get(i)));
    }
    return out;
  }

  /** An array of texts that has to be there. */
  public List<String> texts(String name) {
    if (!(values.get(name) instanceof List<?> list)) {
      throw bad(name, "an array");
    }
    List<String> out = new ArrayList<>(list.size());
    for (Object value : list) {
      if (!(value instanceof String text)) {
        throw bad(path + "." + name, "texts", value);
      }
      out.add(text);
    }
    return out;
  }

  /** One of the words; the table maps the wire's words to the module's. */
  public <T> T oneOf(String name, Map<String, T> words) {
    T word = words.get(text(name));
    if (word == null) {
      throw bad(name, "one of " + new java.util.TreeSet<>(words.keySet()));
    }
    return word;
  }

  public <T> T oneOf(String name, Map<String, T> words, T absent) {
    return has(name) ? oneOf(name, words) : absent;
  }

  /** A load report: its numbers by name, anything else skipped; empty where none came. */
  public Map<String, Double> load(String name) {
    if (!has(name)) {
      return Map.of();
    }
    Map<String, Double> out = new LinkedHashMap<>();
    for (Map.Entry<?, ?> entry : nested(name).values.entrySet()) {
      if (entry.getValue() instanceof Number number) {
        out.put((String) entry.getKey(), number.doubleValue());
      }
    }
    return out;
  }
}
