package cloverpulley.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON object with type-checked access to its fields; a wrong or missing value throws a {@link WireException}. */
public final class Fields {

  private final String path;
  private final Map<?, ?> values;

  public Fields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** Parses a text that holds exactly one object; {@code name} stands for it in error messages. */
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

  /** Reads the value that starts at the parser's current token. */
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

  /** Casts a value to an object, or throws with what was expected. */
  public static Fields object(String path, Object value) {
    if (value instanceof Map<?, ?> map) {
      return new Fields(path, map);
    }
    throw invalid(path, "an object", value);
  }

  private static WireException invalid(String path, String expected, Object value) {
    return new WireException("field " + path + ": expected " + expected + ", got "
        + (value == null ? "nothing" : value instanceof String ? "\"" + value + "\"" : value.toString()));
  }

  private WireException invalid(String name, String expected) {
    return invalid(path + "." + name, expected, values.get(name));
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

  /** A required integer. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw invalid(name, "a whole number");
  }

  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /** An optional integer that fits 32 bits. */
  public int int32(String name, int defaultValue) {
    long number = integer(name, defaultValue);
    if (number != (int) number) {
      throw invalid(name, "a whole number of at most 32 bits");
    }
    return (int) number;
  }

  public double number(String name, double defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw invalid(name, "a number");
  }

  public boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw invalid(name, "true or false");
  }

  public boolean bool(String name, boolean defaultValue) {
    return has(name) ? bool(name) : defaultValue;
  }

  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw invalid(name, "a text");
  }

  public String text(String name, String defaultValue) {
    return has(name) ? text(name) : defaultValue;
  }

  /** A nested object; an empty one if the field is absent. */
  public Fields nested(String name) {
    return has(name) ? object(path + "." + name, values.get(name)) : new Fields(path + "." + name, Map.of());
  }

  /** A required array of objects. */
  public List<Fields> objects(String name) {
    if (!(values.get(name) instanceof List<?> list)) {
      throw invalid(name, "an array");
    }
    List<Fields> out = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      out.add(object(path + "." + name + "[" + i + "]", list.get(i)));
    }
    return out;
  }

  /** A required array of strings. */
  public List<String> texts(String name) {
    if (!(values.get(name) instanceof List<?> list)) {
      throw invalid(name, "an array");
    }
    List<String> out = new ArrayList<>(list.size());
    for (Object value : list) {
      if (!(value instanceof String text)) {
        throw invalid(path + "." + name, "texts", value);
      }
      out.add(text);
    }
    return out;
  }

  /** One of a fixed set of strings; the map translates those on the wire to the module's values. */
  public <T> T oneOf(String name, Map<String, T> choices) {
    T choice = choices.get(text(name));
    if (choice == null) {
      throw invalid(name, "one of " + new java.util.TreeSet<>(choices.keySet()));
    }
    return choice;
  }

  public <T> T oneOf(String name, Map<String, T> choices, T defaultValue) {
    return has(name) ? oneOf(name, choices) : defaultValue;
  }

  /** A load report: its numbers by name; other values are skipped. Empty if the field is absent. */
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
