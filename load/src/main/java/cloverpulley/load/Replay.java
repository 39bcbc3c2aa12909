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
 * Plays a trace: the same requests with the same spacing, divided by the speed. Classes and tenants that the plan names are as it
 * says; others, met in the trace, are safe and worth 1 ({@link #plan} finds them first).
 */
final class Replay implements Supplier<PlannedRequest> {

  private final Trace.Reader trace;
  private final Plan plan;
  private final double speed;
  private final Map<String, Integer> types = new HashMap<>();
  private final Map<String, Integer> tenants = new HashMap<>();
  private final SplittableRandom random;
  private long number;

  Replay(Trace.Reader trace, Plan plan, double speed) {
    this.trace = trace;
    this.plan = plan;
    this.speed = speed;
    for (Plan.RequestClass t : plan.types()) {
      types.put(t.name(), types.size());
    }
    for (Plan.Tenant t : plan.tenants()) {
      tenants.put(t.name(), tenants.size());
    }
    random = new SplittableRandom(plan.seed());
  }

  /** The plan, with what the trace holds beside it; reads the whole trace. */
  static Plan plan(Plan plan, Trace.Reader trace, double speed) throws IOException {
    List<Plan.RequestClass> types = new ArrayList<>(plan.types());
    List<Plan.Tenant> tenants = new ArrayList<>(plan.tenants());
    long last = 0;
    Set<String> typeNames = types.stream().map(Plan.RequestClass::name).collect(Collectors.toSet());
    Set<String> tenantNames = tenants.stream().map(Plan.Tenant::name).collect(Collectors.toSet());
    for (Trace.Entry e = trace.next(); e != null; e = trace.next()) {
      last = e.atMicros();
      if (typeNames.add(e.className())) {
        types.add(new Plan.RequestClass(e.className(), Plan.Effect.SAFE, 1, 1, 1000, 3000, 0, 0, 0));
      }
      if (tenantNames.add(e.tenant())) {
        tenants.add(new Plan.Tenant(e.tenant(), 1, 0));
      }
    }
    return new Plan(plan.seed(), last / 1e6 / speed, plan.rate(), plan.process(), plan.bursts(), plan.shape(), types, tenants,
        plan.keys(), plan.target(), plan.clients(), plan.lateMillis());
  }

  @Override
  public PlannedRequest get() {
    try {
      Trace.Entry e = trace.next();
      if (e == null) {
        return null;
      }
      int type = types.get(e.className());
      Plan.RequestClass t = plan.types().get(type);
      double least = plan.clients().patienceLeast();
      return new PlannedRequest(number++, e.atMicros() / 1e6 / speed, type, tenants.get(e.tenant()),
          e.keyHash() == 0 ? -1 : (int) (e.keyHash() & Integer.MAX_VALUE), e.hintMicros(), e.bytes(),
          t.deadlineMillis() * (least + (1 - least) * random.nextDouble()), random.nextDouble() < plan.clients().honour());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
