package cloverpulley.incident.tool;

import cloverpulley.incident.Audit;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Timeline;
import cloverpulley.records.Archive;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jline.terminal.Attributes;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStringBuilder;
import org.jline.utils.AttributedStyle;
import org.jline.utils.Display;
import org.jline.utils.InfoCmp;
import org.jline.utils.NonBlockingReader;

/** The last minutes of an installation in a terminal, drawn anew each second from the records as they are written; {@code q} leaves. */
public final class Console {

  private static final long REDRAW_MILLIS = 1000;
  private static final int LEAST_WIDTH = 40;
  private static final String BARS = " ▁▂▃▄▅▆▇█";

  private final List<Path> places;
  private final long windowMicros;

  public Console(List<Path> places, long windowMicros) {
    this.places = places;
    this.windowMicros = windowMicros;
  }

  /** Runs until {@code q}, the end of input or so many redraws; 0 for no such end. */
  public void run(int redraws) throws IOException {
    try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
      Attributes before = terminal.enterRawMode();
      Display display = new Display(terminal, true);
      terminal.puts(InfoCmp.Capability.clear_screen);
      NonBlockingReader keys = terminal.reader();
      try {
        for (int i = 0; redraws == 0 || i < redraws; i++) {
          int width = Math.max(LEAST_WIDTH, terminal.getWidth());
          int height = Math.max(10, terminal.getHeight());
          display.resize(height, width);
          List<AttributedString> lines = draw(width, System.currentTimeMillis() * 1000);
          display.update(lines.subList(0, Math.min(height - 1, lines.size())), 0);
          terminal.flush();
          int key = keys.read(REDRAW_MILLIS);
          if (key == 'q' || key == -1 || key == 3) {
            return;
          }
        }
      } finally {
        terminal.setAttributes(before);
        terminal.writer().println();
        terminal.flush();
      }
    }
  }

  private static AttributedString line(String text, AttributedStyle style, int width) {
    AttributedString s = new AttributedStringBuilder().append(text, style).toAttributedString();
    return s.columnLength() <= width ? s : s.columnSubSequence(0, width);
  }

  /** The screen, at a time of this machine's clock. */
  List<AttributedString> draw(int width, long now) throws IOException {
    long second = 1_000_000L;
    IncidentAnalysis.Options options = new IncidentAnalysis.Options(now - windowMicros, now + windowMicros, second, null, Audit.Limits.DEFAULT);
    IncidentAnalysis s = new IncidentAnalysis(new Archive(places), options, n -> { });
    List<AttributedString> out = new ArrayList<>();
    AttributedStyle plain = AttributedStyle.DEFAULT;
    AttributedStyle bold = AttributedStyle.BOLD;
    AttributedStyle red = AttributedStyle.DEFAULT.foreground(AttributedStyle.RED);
    AttributedStyle yellow = AttributedStyle.DEFAULT.foreground(AttributedStyle.YELLOW);
    Timeline c = s.timeline;
    out.add(line(String.format(Locale.ROOT, "ashdeck, the last %d s: %d answered, %d served, %d refused, %d failed, %d not known",
        windowMicros / second, c.count(null, null, null, null), c.count(null, null, null, Entry.SERVED),
        c.count(null, null, null, Entry.REFUSED), c.count(null, null, null, Entry.FAILED), c.unresolvedRequests()), bold, width));
    for (int answer : new int[] {Entry.SERVED, Entry.REFUSED, Entry.FAILED}) {
      out.add(line(String.format("%-9s", Entry.answerName(answer)) + spark(c, answer, width - 20, now), answer == Entry.SERVED ? plain : red,
          width));
    }
    out.add(line("", plain, width));
    for (Timeline.Incarnation l : c.incarnations()) {
      out.add(line(String.format(Locale.ROOT, "%-20s %-8s %s, taken %d, sent %d, dropped records %d", Sanitizer.printable(l.origin.instance()),
          Sanitizer.printable(l.frontend), l.stopped ? "stopped" : "runs", l.accepted, l.sent, l.droppedTotal()),
          l.droppedTotal() > 0 ? yellow : plain, width));
    }
    out.add(line("", plain, width));
    s.audit.findings().stream().filter(Audit.Finding::certain).limit(5)
        .forEach(f -> out.add(line("BROKEN " + f.check() + " " + Sanitizer.printable(f.description()), red, width)));
    for (Swimlanes.Lane lane : Swimlanes.of(c, now, options.limits().warmUpTime())) {
      Swimlanes.StateInterval last = lane.intervals().get(lane.intervals().size() - 1);
      out.add(line(String.format("%-24s %-20s %s", Sanitizer.printable(lane.server()), Sanitizer.printable(lane.instance()), last.state()),
          last.state().equals("ready") ? plain : yellow, width));
    }
    return out;
  }

  private static String spark(Timeline c, int answer, int columns, long now) {
    List<Long> spans = c.intervals();
    int from = Math.max(0, spans.size() - columns);
    long most = 0;
    for (long span : spans) {
      most = Math.max(most, c.count(span, null, null, answer));
    }
    StringBuilder t = new StringBuilder();
    for (int i = from; i < spans.size(); i++) {
      long n = c.count(spans.get(i), null, null, answer);
      t.append(BARS.charAt((int) Math.ceil(n * 8.0 / Math.max(1, most))));
    }
    return t + " most " + most;
  }
}
