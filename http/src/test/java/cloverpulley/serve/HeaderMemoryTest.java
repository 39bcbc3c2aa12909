package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against heads in many short lines: each line counts as the heap that it takes, on all connections together. */
class HeaderMemoryTest {

  private static final int BUDGET_BYTES = 64 * 1024;
  private static final String START = "GET /api HTTP/1.1\r\n";
  private static final String MANY_LINES = "a:b\r\n".repeat(200);

  private final BufferBudget budget = new BufferBudget(BUDGET_BYTES);

  private EmbeddedChannel connection(HeaderMemory memory) {
    return new EmbeddedChannel(new HttpRequestDecoder(memory.decoderConfig()));
  }

  private static HttpRequest send(EmbeddedChannel connection, String text) {
    connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    return connection.readInbound();
  }

  @Test
  void incompleteHeadsOfAllConnectionsShareTheBudget() {
    HeaderMemory first = new HeaderMemory(budget);
    send(connection(first), START + MANY_LINES);
    assertFalse(budget.fits(BUDGET_BYTES / 2), "lines count before the head is complete");
    HttpRequest second = send(connection(new HeaderMemory(budget)), START + MANY_LINES);
    assertFalse(second.decoderResult().isSuccess(), "there is no memory for another");
    HttpRequest usual = send(connection(new HeaderMemory(budget)), START + "X-Line: value\r\n".repeat(20) + "\r\n");
    assertTrue(usual.decoderResult().isSuccess(), "an ordinary head is within the allowance");
    first.releaseAll();
    assertTrue(budget.fits(BUDGET_BYTES / 2), "a closed connection takes no memory");
  }

  @Test
  void aLoneHeadOfManyLinesIsAccepted() {
    assertTrue(send(connection(new HeaderMemory(budget)), START + MANY_LINES + "\r\n").decoderResult().isSuccess());
  }

  @Test
  void releasedHeadersAreReleasedOnce() {
    HeaderMemory memory = new HeaderMemory(budget);
    EmbeddedChannel connection = connection(memory);
    HttpRequest first = send(connection, START + MANY_LINES + "\r\n");
    LastHttpContent end = connection.readInbound();
    HeaderMemory.release(end.trailingHeaders());
    HeaderMemory.release(first.headers());
    HeaderMemory.release(first.headers());
    memory.releaseAll();
    HeaderMemory.release(first.headers());
    assertTrue(budget.fits(BUDGET_BYTES));
    assertFalse(budget.fits(BUDGET_BYTES + 1));
  }

  @Test
  void trailersCountAsHeadersDo() {
    send(connection(new HeaderMemory(budget)), "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + MANY_LINES);
    assertFalse(budget.fits(BUDGET_BYTES / 2));
  }
}
