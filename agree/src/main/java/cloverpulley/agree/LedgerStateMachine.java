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

/** The ledger as Raft's state machine. Commands come on Raft's thread, looks from others: a look is a value, made once for an index. */
final class LedgerStateMachine implements StateMachine {

  private final DisruptionLedger ledger;
  private LedgerState looked;

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
      throw new UncheckedIOException(e); // A snapshot of a newer version: this voter can't go on.
    }
    looked = null;
  }

  @Override
  public Object getNewTermOperation() {
    return new TimestampedCommand(0, new Command.Tick());
  }

  /** The ledger as it is. */
  synchronized LedgerState state() {
    if (looked == null || looked.index() != ledger.index()) {
      looked = ledger.state();
    }
    return looked;
  }

  /** The ledger's time: the latest stamp that it holds. */
  synchronized long nowMillis() {
    return ledger.nowMillis();
  }

  synchronized long index() {
    return ledger.index();
  }
}
