package cloverpulley.incident.tool;

import cloverpulley.incident.Entry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.Locale;

/** Formats a record as a line of text or JSON. */
public final class EntryFormatter {

  private static final JsonFactory FACTORY = new JsonFactory();

  private EntryFormatter() {}

  /** As a line of text, without control characters. */
  public static String text(Entry e) {
    StringBuilder t = new StringBuilder(HtmlReport.time(e.at())).append(' ').append(Sanitizer.printable(e.origin().instance())).append(' ')
        .append(e.kind().name().toLowerCase(Locale.ROOT));
    append(t, "request", e.requestId());
    append(t, "class", e.className());
    append(t, "tenant", e.tenant());
    append(t, "server", e.name());
    append(t, "word", e.word());
    if (e.kind() == cloverpulley.incident.Kind.ANSWERED || e.kind() == cloverpulley.incident.Kind.ENDED) {
      append(t, "answer", Entry.answerName(e.other()));
    } else if (e.other() != 0) {
      t.append(" other=").append(e.other());
    }
    if (e.attempt() != 0) {
      t.append(" attempt=").append(e.attempt());
    }
    if (e.value() != 0) {
      t.append(" value=").append(e.value());
    }
    return t.toString();
  }

  private static void append(StringBuilder t, String name, String value) {
    if (value != null) {
      t.append(' ').append(name).append('=').append(Sanitizer.printable(value));
    }
  }

  /** As one JSON object. */
  public static String json(Entry e) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = FACTORY.createGenerator(text)) {
      g.writeStartObject();
      g.writeStringField("instance", e.origin().instance());
      g.writeNumberField("life", e.origin().start());
      g.writeNumberField("seq", e.seq());
      g.writeNumberField("at_us", e.at());
      g.writeStringField("kind", e.kind().name().toLowerCase(Locale.ROOT));
      field(g, "request", e.requestId());
      field(g, "class", e.className());
      field(g, "tenant", e.tenant());
      field(g, "server", e.name());
      field(g, "word", e.word());
      if (e.upstream() != 0) {
        g.writeStringField("upstream", Long.toHexString(e.upstream()));
      }
      g.writeNumberField("attempt", e.attempt());
      g.writeNumberField("value", e.value());
      g.writeNumberField("other", e.other());
      g.writeEndObject();
    }
    return text.toString();
  }

  private static void field(JsonGenerator g, String name, String value) throws IOException {
    if (value != null) {
      g.writeStringField(name, value);
    }
  }
}
