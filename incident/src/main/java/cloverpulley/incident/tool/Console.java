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

/** Shows the last minutes of a deployment in a terminal, redrawn each second from the records as they are written; {@code q} quits. */
public final class Console {

  private static final long REDRAW_MILLIS = 1000;
  private static final int MIN_WIDTH = 40;
  private static final String BARS = " ▁▂▃▄▅▆▇█";

  private final List<Path> paths;
  private final long windowMicros;

  public Console(List<Path> paths, long windowMicros) {
    this.paths = paths;
    this.windowMicros = windowMicros;
  }

  /** Runs until {@code q}, the end of input or the given number of redraws; 0 for no limit. */
  public void run(int redraws) throws IOException {
    try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
      Attributes before = terminal.enterRawMode();
      Display display = new Display(terminal, true);
      terminal.puts(InfoCmp.Capability.clear_screen);
      NonBlockingReader keys = terminal.reader();
      try {
        for (int i = 0; redraws == 0 || i < redraws; i++) {
          int width = Math.max(MIN_WIDTH, terminal.getWidth());
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
    AttributedString styled = new AttributedStringBuilder().append(text, style).toAttributedString();
    return styled.columnLength() <= width ? styled : styled.columnSubSequence(0, width);
  }

  /** Renders the screen; {@code now} is read from this machine's clock. */
  List<AttributedString> draw(int width, long now) throws IOException {
    long second = 1_000_000L;
    IncidentAnalysis.Options options = new IncidentAnalysis.Options(now - windowMicros, now + windowMicros, second, null, Audit.Limits.DEFAULT);
    IncidentAnalysis analysis = new IncidentAnalysis(new Archive(paths), options, n -> { });
    List<AttributedString> out = new ArrayList<>();
    AttributedStyle plain = AttributedStyle.DEFAULT;
    AttributedStyle bold = AttributedStyle.BOLD;
    AttributedStyle red = AttributedStyle.DEFAULT.foreground(AttributedStyle.RED);
    AttributedStyle yellow = AttributedStyle.DEFAULT.foreground(AttributedStyle.YELLOW);
    Timeline timeline = analysis.timeline;
    out.add(line(String.format(Locale.ROOT, "ashdeck, the last %d s: %d answered, %d served, %d refused, %d failed, %d unresolved",
        windowMicros / second, timeline.count(null, null, null, null), timeline.count(null, null, null, Entry.SERVED),
        timeline.count(null, null, null, Entry.REFUSED), timeline.count(null, null, null, Entry.FAILED), timeline.unresolvedRequests()), bold,
        width));
    for (int answer : new int[] {Entry.SERVED, Entry.REFUSED, Entry.FAILED}) {
      out.add(line(String.format("%-9s", Entry.answerName(answer)) + sparkline(timeline, answer, width - 20, now),
          answer == Entry.SERVED ? plain : red, width));
    }
    out.add(line("", plain, width));
    for (Timeline.Incarnation incarnation : timeline.incarnations()) {
      out.add(line(String.format(Locale.ROOT, "%-20s %-8s %s, taken %d, sent %d, dropped records %d",
          Sanitizer.printable(incarnation.origin.instance()), Sanitizer.printable(incarnation.frontend),
          incarnation.stopped ? "stopped" : "runs", incarnation.accepted, incarnation.sent, incarnation.droppedTotal()),
          incarnation.droppedTotal() > 0 ? yellow : plain, width));
    }
    out.add(line("", plain, width));
    analysis.audit.findings().stream().filter(Audit.Finding::certain).limit(5)
        .forEach(f -> out.add(line("BROKEN " + f.check() + " " + Sanitizer.printable(f.description()), red, width)));
    for (Swimlanes.Lane lane : Swimlanes.of(timeline, now, options.limits().warmUpTime())) {
      Swimlanes.StateInterval last = lane.intervals().get(lane.intervals().size() - 1);
      out.add(line(String.format("%-24s %-20s %s", Sanitizer.printable(lane.server()), Sanitizer.printable(lane.instance()), last.state()),
          last.state().equals("ready") ? plain : yellow, width));
    }
    return out;
  }

  private static String sparkline(Timeline timeline, int answer, int columns, long now) {
    List<Long> intervals = timeline.intervals();
    int from = Math.max(0, intervals.size() - columns);
    long max = 0;
    for (long interval : intervals) {
      max = Math.max(max, timeline.count(interval, null, null, answer));
    }
    StringBuilder bars = new StringBuilder();
    for (int i = from; i < intervals.size(); i++) {
      long n = timeline.count(intervals.get(i), null, null, answer);
      bars.append(BARS.charAt((int) Math.ceil(n * 8.0 / Math.max(1, max))));
    }
    return bars + " most " + max;
  }
}
