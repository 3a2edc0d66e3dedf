@0xd3a1c95be07f4218;
# What passes between controllers. One envelope a message, one way; answers carry the ask's number.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("seampass::rpc::schema");

struct Envelope {
  union {
    jobAccepted @0 :JobAccepted;
    jobRequest @1 :JobRequest;
    jobReply @2 :JobReply;
    leaderAnnouncement @3 :LeaderAnnouncement;
    epochConfirmation @4 :EpochConfirmation;
  }
  # Of the sender's program; 0 where the sender does not say, as before this field was added.
  version @5 :UInt16;
}

# A job was accepted and is in the state service; sent to the leader.
struct JobAccepted {
  id @0 :Text;
  record @1 :Text;  # the value of its key
  version @2 :UInt64;
}

# The sender leads. A node that the state service does not answer learns it from here alone.
struct LeaderAnnouncement {
  epoch @0 :UInt64;
  round @1 :UInt64;  # not 0: an EpochConfirmation is requested
}

# What the sender knows of leaders, and for how long it has been up.
struct EpochConfirmation {
  round @0 :UInt64;
  epoch @1 :UInt64;  # the highest that it knows anybody to have led with
  upMs @2 :Int64;
}

# A user's poll or cancellation, or (with a record) a submission that the sender could not write.
struct JobRequest {
  number @0 :UInt64;
  id @1 :Text;
  cancel @2 :Bool;
  record @3 :Text;
}

struct JobReply {
  number @0 :UInt64;
  lookup @1 :Lookup;
  stage @2 :UInt8;
  done @3 :UInt64;
  running @4 :UInt64;
  fresh @5 :Bool;  # the submission made the job

  enum Lookup {
    unavailable @0; # does not lead, or can't tell now
    found @1;
    notFound @2;  # no such job: a read of the state service said so
  }
}
