package cloverpulley.load;

import cloverpulley.load.RequestGenerator.PlannedRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Replays a trace: the same requests, with their intervals divided by the speed. Classes and tenants that the plan defines are used as
 * defined; others that occur in the trace are treated as safe with a worth of 1 ({@link #plan} adds them to the plan).
 */
final class Replay implements Supplier<PlannedRequest> {

  private final Trace.Reader trace;
  private final Plan plan;
  private final double speed;
  private final Map<String, Integer> classIndexes = new HashMap<>();
  private final Map<String, Integer> tenantIndexes = new HashMap<>();
  private final SplittableRandom random;
  private long number;

  Replay(Trace.Reader trace, Plan plan, double speed) {
    this.trace = trace;
    this.plan = plan;
    this.speed = speed;
    for (Plan.RequestClass t : plan.classes()) {
      classIndexes.put(t.name(), classIndexes.size());
    }
    for (Plan.Tenant t : plan.tenants()) {
      tenantIndexes.put(t.name(), tenantIndexes.size());
    }
    random = new SplittableRandom(plan.seed());
  }

  /** Returns the plan with the classes and tenants that occur only in the trace added to it. Reads the whole trace. */
  static Plan plan(Plan plan, Trace.Reader trace, double speed) throws IOException {
    List<Plan.RequestClass> classes = new ArrayList<>(plan.classes());
    List<Plan.Tenant> tenants = new ArrayList<>(plan.tenants());
    long lastMicros = 0;
    Set<String> classNames = classes.stream().map(Plan.RequestClass::name).collect(Collectors.toSet());
    Set<String> tenantNames = tenants.stream().map(Plan.Tenant::name).collect(Collectors.toSet());
    for (Trace.Entry e = trace.next(); e != null; e = trace.next()) {
      lastMicros = e.atMicros();
      if (classNames.add(e.className())) {
        classes.add(new Plan.RequestClass(e.className(), Plan.Effect.SAFE, 1, 1, 1000, 3000, 0, 0, 0));
      }
      if (tenantNames.add(e.tenant())) {
        tenants.add(new Plan.Tenant(e.tenant(), 1, 0));
      }
    }
    return new Plan(plan.seed(), lastMicros / 1e6 / speed, plan.rate(), plan.process(), plan.bursts(), plan.shape(), classes, tenants,
        plan.keys(), plan.target(), plan.clients(), plan.maxLatenessMillis());
  }

  @Override
  public PlannedRequest get() {
    try {
      Trace.Entry e = trace.next();
      if (e == null) {
        return null;
      }
      int classIndex = classIndexes.get(e.className());
      Plan.RequestClass t = plan.classes().get(classIndex);
      double minTimeoutRatio = plan.clients().minTimeoutRatio();
      return new PlannedRequest(number++, e.atMicros() / 1e6 / speed, classIndex, tenantIndexes.get(e.tenant()),
          e.keyHash() == 0 ? -1 : (int) (e.keyHash() & Integer.MAX_VALUE), e.hintMicros(), e.bytes(),
          t.deadlineMillis() * (minTimeoutRatio + (1 - minTimeoutRatio) * random.nextDouble()),
          random.nextDouble() < plan.clients().honourRatio());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
