package cloverpulley.load;

import java.util.Locale;

/** A plan as text. */
public final class PlanFormatter {

  private static final int ROWS = 30;
  private static final int WIDTH = 60;

  private PlanFormatter() {}

  /** What a run of it would be, in one line. */
  public static String line(Plan plan) {
    return String.format(Locale.ROOT, "%.0f requests in %.0f s, %d classes, %d tenants, %d keys, to %s by %s, seed %d",
        plan.rate() * plan.shape().mean(0, plan.seconds()) * plan.seconds(), plan.seconds(), plan.types().size(),
        plan.tenants().size(), plan.keys().count(), plan.target().address(),
        plan.target().protocol().name().toLowerCase(Locale.ROOT), plan.seed());
  }

  /** The planned rate over time: a bar for each piece of the run, its mean beside it. */
  public static String draw(Plan plan) {
    StringBuilder text = new StringBuilder(line(plan)).append('\n');
    double[] means = new double[ROWS];
    double most = 1e-9;
    for (int i = 0; i < ROWS; i++) {
      means[i] = plan.rate() * plan.shape().mean(plan.seconds() * i / ROWS, plan.seconds() * (i + 1) / ROWS);
      most = Math.max(most, means[i]);
    }
    for (int i = 0; i < ROWS; i++) {
      text.append(String.format(Locale.ROOT, "%8.1f s %9.1f/s  %s%n", plan.seconds() * i / ROWS, means[i],
          "#".repeat((int) Math.round(WIDTH * means[i] / most))));
    }
    return text.toString();
  }
}
