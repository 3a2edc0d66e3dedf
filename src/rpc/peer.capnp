@0xd3a1c95be07f4218;
# The messages between controllers. Each message is one Envelope and goes one way. A JobReply
# repeats the number of its JobRequest, and an EpochConfirmation the round of its
# LeaderAnnouncement.

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
  # The version of the sender's program. It is 0 if the sender states none, as a program does
  # that is older than this field.
  version @5 :UInt16;
}

# Tells the leader that the sender has accepted a job, whose record is in the state service.
struct JobAccepted {
  id @0 :Text;
  record @1 :Text;  # the value of the job's key
  version @2 :UInt64;  # of that key
}

# Announces that the sender is the leader. A node that gets no answer from the state service learns
# of a leader only from this message.
struct LeaderAnnouncement {
  epoch @0 :UInt64;  # the sender's
  round @1 :UInt64;  # not 0: the receiver answers with an EpochConfirmation
}

# Answers a LeaderAnnouncement with the highest epoch that the sender knows, and the time since the
# sender's process started.
struct EpochConfirmation {
  round @0 :UInt64;
  epoch @1 :UInt64;  # the highest epoch of any leader that the sender knows of
  upMs @2 :Int64;  # ms since the sender's process started
}

# A user's poll or cancellation, or (with a record) a submission that the sender could not write to
# the state service.
struct JobRequest {
  number @0 :UInt64;
  id @1 :Text;
  cancel @2 :Bool;
  record @3 :Text;  # not empty: the receiver is asked to accept this job
}

# The leader's answer to a JobRequest.
struct JobReply {
  number @0 :UInt64;
  lookup @1 :Lookup;
  stage @2 :UInt8;
  done @3 :UInt64;
  running @4 :UInt64;
  fresh @5 :Bool;  # the submission created the job, which did not exist before

  enum Lookup {
    unavailable @0; # the sender does not lead, or cannot answer now
    found @1;
    notFound @2;  # a read of the state service has shown that no such job exists
  }
}
