package cloverpulley.handover;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The hash by which the processes of a balancer tell request ids apart: 64 bits of SHA-256, never 0. Not thread-safe. */
final class RequestIdHash {

  private final MessageDigest digest = newDigest();

  long of(String id) {
    long hash = ByteBuffer.wrap(digest.digest(id.getBytes(StandardCharsets.UTF_8))).getLong();
    return hash == 0 ? 1 : hash;
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Every Java platform has it.
    }
  }
}
