package cloverpulley.load;

import java.util.Locale;

/** Formats a plan as text. */
public final class PlanFormatter {

  private static final int ROWS = 30;
  private static final int WIDTH = 60;

  private PlanFormatter() {}

  /** One line that summarises the run. */
  public static String summary(Plan plan) {
    return String.format(Locale.ROOT, "%.0f requests in %.0f s, %d classes, %d tenants, %d keys, to %s by %s, seed %d",
        plan.rate() * plan.shape().mean(0, plan.seconds()) * plan.seconds(), plan.seconds(), plan.classes().size(),
        plan.tenants().size(), plan.keys().count(), plan.target().address(),
        plan.target().protocol().name().toLowerCase(Locale.ROOT), plan.seed());
  }

  /** The planned rate over time as a bar chart; each row gives the mean rate of one section of the run. */
  public static String chart(Plan plan) {
    StringBuilder out = new StringBuilder(summary(plan)).append('\n');
    double[] means = new double[ROWS];
    double max = 1e-9;
    for (int i = 0; i < ROWS; i++) {
      means[i] = plan.rate() * plan.shape().mean(plan.seconds() * i / ROWS, plan.seconds() * (i + 1) / ROWS);
      max = Math.max(max, means[i]);
    }
    for (int i = 0; i < ROWS; i++) {
      out.append(String.format(Locale.ROOT, "%8.1f s %9.1f/s  %s%n", plan.seconds() * i / ROWS, means[i],
          "#".repeat((int) Math.round(WIDTH * means[i] / max))));
    }
    return out.toString();
  }
}
