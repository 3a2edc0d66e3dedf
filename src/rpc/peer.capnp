@0xd3a1c95be07f4218;
# What passes between controllers. One envelope a message, one way; answers carry the ask's number.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("seampass::rpc::schema");

struct Envelope {
  union {
    accepted @0 :Accepted;
    ask @1 :Ask;
    answer @2 :Answer;
  }
}

# A job was accepted and is in the state service; sent to the leader.
struct Accepted {
  id @0 :Text;
  record @1 :Text;  # the value of its key
  version @2 :UInt64;
}

# A user's poll or cancellation, sent to the leader.
struct Ask {
  number @0 :UInt64;
  id @1 :Text;
  cancel @2 :Bool;
}

struct Answer {
  number @0 :UInt64;
  verdict @1 :Verdict;
  stage @2 :UInt8;
  done @3 :UInt64;
  running @4 :UInt64;

  enum Verdict {
    cannot @0;   # does not lead, or can't tell now
    known @1;
    unknown @2;  # no such job: a read of the state service said so
  }
}
