package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.LedgerState;
import io.microraft.statemachine.StateMachine;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** The ledger as Raft's state machine. Commands run on the Raft thread, readers on others; the immutable state is cached per log index. */
final class LedgerStateMachine implements StateMachine {

  private final DisruptionLedger ledger;
  private LedgerState cachedState;

  LedgerStateMachine(DisruptionLedger ledger) {
    this.ledger = ledger;
  }

  @Override
  public synchronized Object runOperation(long commitIndex, Object operation) {
    TimestampedCommand s = (TimestampedCommand) operation;
    return ledger.apply(commitIndex, s.millis(), s.command());
  }

  @Override
  public synchronized void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
    chunks.accept(new String(Json.write(ledger.state()), StandardCharsets.UTF_8));
  }

  @Override
  public synchronized void installSnapshot(long commitIndex, List<Object> chunks) {
    StringBuilder text = new StringBuilder();
    chunks.forEach(text::append);
    try {
      ledger.restore(Json.read(text.toString().getBytes(StandardCharsets.UTF_8), LedgerState.class));
    } catch (IOException e) {
      throw new UncheckedIOException(e); // A snapshot of a newer version, which this voter can't use.
    }
    cachedState = null;
  }

  @Override
  public Object getNewTermOperation() {
    return new TimestampedCommand(0, new Command.Tick());
  }

  /** The current state of the ledger. */
  synchronized LedgerState state() {
    if (cachedState == null || cachedState.index() != ledger.index()) {
      cachedState = ledger.state();
    }
    return cachedState;
  }

  /** The time of the ledger, its latest timestamp. */
  synchronized long nowMillis() {
    return ledger.nowMillis();
  }

  synchronized long index() {
    return ledger.index();
  }
}
