package cloverpulley.extproc;

import cloverpulley.extproc.ExtProc.ProcessingResponse;
import io.grpc.KnownLength;
import io.grpc.MethodDescriptor.Marshaller;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** A reply in the bytes that go on the wire: one that is sent often is encoded once. */
public final class EncodedResponse {

  private final byte[] bytes;

  public EncodedResponse(ProcessingResponse reply) {
    bytes = reply.toByteArray();
  }

  /** The message that it is. */
  public ProcessingResponse message() {
    try {
      return ProcessingResponse.parseFrom(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Bytes whose number gRPC may ask for, so that it needs no buffer of its own to count them. */
  private static final class Bytes extends ByteArrayInputStream implements KnownLength {
    Bytes(byte[] bytes) {
      super(bytes);
    }
  }

  static final Marshaller<EncodedResponse> MARSHALLER = new Marshaller<>() {
    @Override
    public InputStream stream(EncodedResponse reply) {
      return new Bytes(reply.bytes);
    }

    @Override
    public EncodedResponse parse(InputStream stream) {
      try {
        return new EncodedResponse(ProcessingResponse.parseFrom(stream));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  };
}
