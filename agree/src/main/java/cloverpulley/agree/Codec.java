package cloverpulley.agree;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Binary encoding of Raft messages and log entries: a type, then the fields in the order of their interface. Version 1. */
final class Codec {

  static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
  /** Maximum size of a message; snapshots are the largest. */
  static final int MAX_MESSAGE_BYTES = 32 << 20;
  private static final int MAX_LIST_SIZE = 100_000;

  private final Object group;

  Codec(Object group) {
    this.group = group;
  }

  byte[] write(RaftMessage m) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream o = new DataOutputStream(bytes);
    o.writeByte(type(m));
    endpoint(o, m.getSender());
    o.writeInt(m.getTerm());
    if (m instanceof AppendEntriesRequest a) {
      o.writeInt(a.getPreviousLogTerm());
      o.writeLong(a.getPreviousLogIndex());
      o.writeLong(a.getCommitIndex());
      o.writeInt(a.getLogEntries().size());
      for (LogEntry e : a.getLogEntries()) {
        entry(o, e);
      }
      o.writeLong(a.getQuerySequenceNumber());
      o.writeLong(a.getFlowControlSequenceNumber());
    } else if (m instanceof AppendEntriesSuccessResponse a) {
      o.writeLong(a.getLastLogIndex());
      o.writeLong(a.getQuerySequenceNumber());
      o.writeLong(a.getFlowControlSequenceNumber());
    } else if (m instanceof AppendEntriesFailureResponse a) {
      o.writeLong(a.getExpectedNextIndex());
      o.writeLong(a.getQuerySequenceNumber());
      o.writeLong(a.getFlowControlSequenceNumber());
    } else if (m instanceof InstallSnapshotRequest a) {
      o.writeBoolean(a.isSenderLeader());
      o.writeInt(a.getSnapshotTerm());
      o.writeLong(a.getSnapshotIndex());
      o.writeInt(a.getTotalSnapshotChunkCount());
      o.writeBoolean(a.getSnapshotChunk() != null);
      if (a.getSnapshotChunk() != null) {
        chunk(o, a.getSnapshotChunk());
      }
      endpoints(o, a.getSnapshottedMembers());
      members(o, a.getGroupMembersView());
      o.writeLong(a.getQuerySequenceNumber());
      o.writeLong(a.getFlowControlSequenceNumber());
    } else if (m instanceof InstallSnapshotResponse a) {
      o.writeLong(a.getSnapshotIndex());
      o.writeInt(a.getRequestedSnapshotChunkIndex());
      o.writeLong(a.getQuerySequenceNumber());
      o.writeLong(a.getFlowControlSequenceNumber());
    } else if (m instanceof PreVoteRequest a) {
      o.writeInt(a.getLastLogTerm());
      o.writeLong(a.getLastLogIndex());
    } else if (m instanceof PreVoteResponse a) {
      o.writeBoolean(a.isGranted());
    } else if (m instanceof VoteRequest a) {
      o.writeInt(a.getLastLogTerm());
      o.writeLong(a.getLastLogIndex());
      o.writeBoolean(a.isSticky());
    } else if (m instanceof VoteResponse a) {
      o.writeBoolean(a.isGranted());
    } else if (m instanceof TriggerLeaderElectionRequest a) {
      o.writeInt(a.getLastLogTerm());
      o.writeLong(a.getLastLogIndex());
    }
    return bytes.toByteArray();
  }

  private static int type(RaftMessage m) throws IOException {
    Class<?>[] types = {AppendEntriesRequest.class, AppendEntriesSuccessResponse.class, AppendEntriesFailureResponse.class,
      InstallSnapshotRequest.class, InstallSnapshotResponse.class, PreVoteRequest.class, PreVoteResponse.class, VoteRequest.class,
      VoteResponse.class, TriggerLeaderElectionRequest.class};
    for (int i = 0; i < types.length; i++) {
      if (types[i].isInstance(m)) {
        return i + 1;
      }
    }
    throw new IOException("cannot encode " + m.getClass());
  }

  /** Reads a message; throws an {@link IOException} if it is malformed. */
  RaftMessage read(byte[] bytes) throws IOException {
    DataInputStream i = new DataInputStream(new ByteArrayInputStream(bytes));
    int type = i.readUnsignedByte();
    RaftEndpoint sender = endpoint(i);
    int term = i.readInt();
    RaftMessage m = switch (type) {
      case 1 -> MODEL.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender).setTerm(term).setPreviousLogTerm(i.readInt())
          .setPreviousLogIndex(i.readLong()).setCommitIndex(i.readLong()).setLogEntries(entries(i)).setQuerySequenceNumber(i.readLong())
          .setFlowControlSequenceNumber(i.readLong()).build();
      case 2 -> MODEL.createAppendEntriesSuccessResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
          .setLastLogIndex(i.readLong()).setQuerySequenceNumber(i.readLong()).setFlowControlSequenceNumber(i.readLong()).build();
      case 3 -> MODEL.createAppendEntriesFailureResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
          .setExpectedNextIndex(i.readLong()).setQuerySequenceNumber(i.readLong()).setFlowControlSequenceNumber(i.readLong()).build();
      case 4 -> MODEL.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
          .setSenderLeader(i.readBoolean()).setSnapshotTerm(i.readInt()).setSnapshotIndex(i.readLong())
          .setTotalSnapshotChunkCount(i.readInt()).setSnapshotChunk(i.readBoolean() ? chunk(i) : null).setSnapshottedMembers(endpoints(i))
          .setGroupMembersView(members(i)).setQuerySequenceNumber(i.readLong()).setFlowControlSequenceNumber(i.readLong()).build();
      case 5 -> MODEL.createInstallSnapshotResponseBuilder().setGroupId(group).setSender(sender).setTerm(term)
          .setSnapshotIndex(i.readLong()).setRequestedSnapshotChunkIndex(i.readInt()).setQuerySequenceNumber(i.readLong())
          .setFlowControlSequenceNumber(i.readLong()).build();
      case 6 -> MODEL.createPreVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term).setLastLogTerm(i.readInt())
          .setLastLogIndex(i.readLong()).build();
      case 7 -> MODEL.createPreVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term).setGranted(i.readBoolean()).build();
      case 8 -> MODEL.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term).setLastLogTerm(i.readInt())
          .setLastLogIndex(i.readLong()).setSticky(i.readBoolean()).build();
      case 9 -> MODEL.createVoteResponseBuilder().setGroupId(group).setSender(sender).setTerm(term).setGranted(i.readBoolean()).build();
      case 10 -> MODEL.createTriggerLeaderElectionRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
          .setLastLogTerm(i.readInt()).setLastLogIndex(i.readLong()).build();
      default -> throw new IOException("unknown message type " + type);
    };
    if (i.available() > 0) {
      throw new IOException("trailing bytes after a message");
    }
    return m;
  }

  static void endpoint(DataOutputStream o, RaftEndpoint e) throws IOException {
    o.writeUTF(e == null ? "" : (String) e.getId());
  }

  static RaftEndpoint endpoint(DataInputStream i) throws IOException {
    String name = i.readUTF();
    return name.isEmpty() ? null : new Peer(name);
  }

  private static void endpoints(DataOutputStream o, Collection<RaftEndpoint> all) throws IOException {
    o.writeInt(all.size());
    for (RaftEndpoint e : all) {
      endpoint(o, e);
    }
  }

  private static int size(DataInputStream i) throws IOException {
    int n = i.readInt();
    if (n < 0 || n > MAX_LIST_SIZE) {
      throw new IOException("invalid list size " + n);
    }
    return n;
  }

  private static List<RaftEndpoint> endpoints(DataInputStream i) throws IOException {
    int n = size(i);
    List<RaftEndpoint> all = new ArrayList<>();
    for (int k = 0; k < n; k++) {
      all.add(endpoint(i));
    }
    return all;
  }

  static void members(DataOutputStream o, RaftGroupMembersView v) throws IOException {
    o.writeLong(v.getLogIndex());
    endpoints(o, v.getMembers());
    endpoints(o, v.getVotingMembers());
  }

  static RaftGroupMembersView members(DataInputStream i) throws IOException {
    return MODEL.createRaftGroupMembersViewBuilder().setLogIndex(i.readLong()).setMembers(endpoints(i)).setVotingMembers(endpoints(i))
        .build();
  }

  static void entry(DataOutputStream o, LogEntry e) throws IOException {
    o.writeLong(e.getIndex());
    o.writeInt(e.getTerm());
    operation(o, e.getOperation());
  }

  static LogEntry entry(DataInputStream i) throws IOException {
    return MODEL.createLogEntryBuilder().setIndex(i.readLong()).setTerm(i.readInt()).setOperation(operation(i)).build();
  }

  static List<LogEntry> entries(DataInputStream i) throws IOException {
    int n = size(i);
    List<LogEntry> all = new ArrayList<>();
    for (int k = 0; k < n; k++) {
      all.add(entry(i));
    }
    return all;
  }

  static void chunk(DataOutputStream o, SnapshotChunk c) throws IOException {
    o.writeLong(c.getIndex());
    o.writeInt(c.getTerm());
    bytes(o, ((String) c.getOperation()).getBytes(StandardCharsets.UTF_8));
    o.writeInt(c.getSnapshotChunkIndex());
    o.writeInt(c.getSnapshotChunkCount());
    members(o, c.getGroupMembersView());
  }

  static SnapshotChunk chunk(DataInputStream i) throws IOException {
    return MODEL.createSnapshotChunkBuilder().setIndex(i.readLong()).setTerm(i.readInt())
        .setOperation(new String(bytes(i), StandardCharsets.UTF_8)).setSnapshotChunkIndex(i.readInt()).setSnapshotChunkCount(i.readInt())
        .setGroupMembersView(members(i)).build();
  }

  private static void operation(DataOutputStream o, Object operation) throws IOException {
    if (operation instanceof TimestampedCommand s) {
      o.writeByte(1);
      bytes(o, Json.write(s));
    } else if (operation instanceof UpdateRaftGroupMembersOp u) {
      o.writeByte(2);
      endpoints(o, u.getMembers());
      endpoints(o, u.getVotingMembers());
      endpoint(o, u.getEndpoint());
      o.writeUTF(u.getMode().name());
    } else {
      throw new IOException("cannot encode operation " + operation);
    }
  }

  private static Object operation(DataInputStream i) throws IOException {
    int type = i.readUnsignedByte();
    try {
      return switch (type) {
        case 1 -> Json.read(bytes(i), TimestampedCommand.class);
        case 2 -> MODEL.createUpdateRaftGroupMembersOpBuilder().setMembers(endpoints(i)).setVotingMembers(endpoints(i))
            .setEndpoint(endpoint(i)).setMode(MembershipChangeMode.valueOf(i.readUTF())).build();
        default -> throw new IOException("unknown operation type " + type);
      };
    } catch (IllegalArgumentException e) {
      throw new IOException(e);
    }
  }

  private static void bytes(DataOutputStream o, byte[] bytes) throws IOException {
    o.writeInt(bytes.length);
    o.write(bytes);
  }

  private static byte[] bytes(DataInputStream i) throws IOException {
    int n = i.readInt();
    if (n < 0 || n > i.available()) {
      throw new IOException("invalid text length " + n);
    }
    return i.readNBytes(n);
  }
}
