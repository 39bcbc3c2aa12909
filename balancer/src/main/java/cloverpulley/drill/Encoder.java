package cloverpulley.drill;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.CloseIdle;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.FetchEndpoints;
import cloverpulley.Balancer.Log;
import cloverpulley.Balancer.Probe;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.SendToPeer;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.Watch;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;

/** Encodes the module's actions in the simulator's JSON format. */
final class Encoder {

  private Encoder() {}

  /** Writes an action as an object with a single key. */
  static void write(JsonGenerator out, Action action) throws IOException {
    if (action instanceof Send a) {
      startObject(out, "Deliver");
      out.writeStringField("rid", a.id());
      out.writeNumberField("patience-ns", a.timeoutNanos());
      out.writeNumberField("upstream", a.upstream());
    } else if (action instanceof Cancel a) {
      startObject(out, "AbortAttempt");
      out.writeStringField("rid", a.id());
      out.writeNumberField("go", a.attempt());
    } else if (action instanceof Reject a) {
      startObject(out, "Decline");
      out.writeStringField("rid", a.id());
      out.writeNumberField("not-before-for-ns", a.retryAfterNanos());
    } else if (action instanceof Fail a) {
      startObject(out, "DropRequest");
      out.writeStringField("rid", a.id());
    } else if (action instanceof SetTimer a) {
      startObject(out, "SetTimer");
      out.writeStringField("handle", a.token());
      out.writeNumberField("fire-at-ns", a.atNanos());
    } else if (action instanceof Watch a) {
      startObject(out, "Observe");
      out.writeBooleanField("enable", a.on());
    } else if (action instanceof FetchEndpoints) {
      startObject(out, "Resolve");
    } else if (action instanceof Probe a) {
      startObject(out, "SoundOut");
      out.writeNumberField("upstream", a.upstream());
    } else if (action instanceof CloseIdle a) {
      startObject(out, "Release");
      out.writeNumberField("upstream", a.upstream());
    } else if (action instanceof SendToPeer a) {
      startObject(out, "BroadcastTo");
      out.writeNumberField("recipient", a.to());
      out.writeStringField("octets", Base64.getEncoder().encodeToString(a.data()));
    } else if (action instanceof Log a) {
      startObject(out, "Emit");
      out.writeStringField("note-text", a.text());
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  /** Reports that a module instance threw an exception. */
  static void writeFault(JsonGenerator out, RuntimeException e) throws IOException {
    startObject(out, "Fault");
    StackTraceElement[] trace = e.getStackTrace();
    out.writeStringField("note-text", e.getClass().getName() + ": " + e.getMessage() + " at "
        + (trace.length == 0 ? "unknown place" : trace[0].toString()));
    out.writeEndObject();
    out.writeEndObject();
  }

  private static void startObject(JsonGenerator out, String name) throws IOException {
    out.writeStartObject();
    out.writeObjectFieldStart(name);
  }
}
