@0xd3a1c95be07f4219;
# The schema of the version in production, as it was: what it reads of the messages of this one.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("seampass::fakes::production");

struct Envelope {
  union {
    accepted @0 :Accepted;
    ask @1 :Ask;
    answer @2 :Answer;
    leads @3 :Leads;
    word @4 :Word;
  }
}

# A job was accepted and is in the state service; sent to the leader.
struct Accepted {
  id @0 :Text;
  record @1 :Text;  # the value of its key
  version @2 :UInt64;
}

# The sender leads. A node that the state service does not answer learns it from here alone.
struct Leads {
  warrant @0 :UInt64;
  round @1 :UInt64;  # not 0: a Word is asked for
}

# What the sender knows of leaders, and for how long it has been up.
struct Word {
  round @0 :UInt64;
  warrant @1 :UInt64;  # the highest that it knows anybody to have led with
  upMs @2 :Int64;
}

# A user's poll or cancellation, or (with a record) a submission that the sender could not write.
struct Ask {
  number @0 :UInt64;
  id @1 :Text;
  cancel @2 :Bool;
  record @3 :Text;
}

struct Answer {
  number @0 :UInt64;
  verdict @1 :Verdict;
  stage @2 :UInt8;
  done @3 :UInt64;
  running @4 :UInt64;
  fresh @5 :Bool;  # the submission made the job

  enum Verdict {
    cannot @0;   # does not lead, or can't tell now
    known @1;
    unknown @2;  # no such job: a read of the state service said so
  }
}
