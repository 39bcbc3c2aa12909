package cloverpulley.extproc;

import cloverpulley.extproc.ExtProc.ProcessingResponse;
import io.grpc.KnownLength;
import io.grpc.MethodDescriptor.Marshaller;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** A response in its wire encoding, so that one that is sent often is encoded only once. */
public final class EncodedResponse {

  private final byte[] bytes;

  public EncodedResponse(ProcessingResponse response) {
    bytes = response.toByteArray();
  }

  /** Decodes the message. */
  public ProcessingResponse message() {
    try {
      return ProcessingResponse.parseFrom(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A stream of known length, so that gRPC does not buffer the message to find its size. */
  private static final class KnownLengthInputStream extends ByteArrayInputStream implements KnownLength {
    KnownLengthInputStream(byte[] bytes) {
      super(bytes);
    }
  }

  static final Marshaller<EncodedResponse> MARSHALLER = new Marshaller<>() {
    @Override
    public InputStream stream(EncodedResponse response) {
      return new KnownLengthInputStream(response.bytes);
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
