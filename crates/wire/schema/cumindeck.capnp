# Messages between the processes of cumindeck.
#
# Times are remaining durations in microseconds: the receiver counts them from
# the moment at which it asked, never from a wall clock.
@0xd2c1a9f07be3146a;

struct Hello {
  protocolVersion @0 :UInt32;
  sender @1 :Text;
  incarnation @2 :UInt64;
}

enum AgentState {
  serving @0;
  leaving @1;
}

struct Announcement {
  agent @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  # IP number and port of the agent's RPC listener.
  address @4 :Text;
  state @5 :AgentState;
  slots @6 :UInt32;
  connections @7 :UInt32;
  inFlight @8 :UInt32;
  ringVersion @9 :UInt64;
  worker @10 :Text;
  rack @11 :Text;
  accelerators @12 :UInt32;
  newestToken @13 :UInt64;
  tasks @14 :List(TaskReport);
  # Team to which the backend server belongs; empty for all teams.
  service @15 :Text;
}

enum TaskPhase {
  reserved @0;
  ready @1;
  running @2;
  succeeded @3;
  failed @4;
  stopped @5;
}

struct TaskReport {
  job @0 :Text;
  attempt @1 :UInt64;
  task @2 :UInt64;
  phase @3 :TaskPhase;
  # Detail for operators, such as an exit status; at most 256 bytes.
  detail @4 :Text;
}

struct ZoneRight {
  zone @0 :Text;
  version @1 :UInt64;
  open @2 :Bool;
  remainingMicros @3 :UInt64;
}

struct AgentLease {
  token @0 :UInt64;
  remainingMicros @1 :UInt64;
  # False once the holder's own duty has expired: tasks go on, claims don't.
  coversClaims @2 :Bool;
}

struct RingMember {
  agent @0 :Text;
  incarnation @1 :UInt64;
}

struct Ring {
  region @0 :Text;
  version @1 :UInt64;
  members @2 :List(RingMember);
}

struct EntryAddress {
  entry @0 :Text;
  address @1 :Text;
}

struct AnnounceReply {
  entry @0 :Text;
  configVersion @1 :UInt64;
  configConfirmed @2 :Bool;
  zoneRights @3 :List(ZoneRight);
  # Present only if this entry holds the duty of the agent's region.
  lease @4 :AgentLease;
  # Address of the entry that holds the duty of the agent's region, if known.
  holder @5 :Text;
  entries @6 :List(EntryAddress);
  ringVersion @7 :UInt64;
  # Agents of the gangs that the agent's tasks belong to.
  gangs @8 :List(GangView);
  # Present if the agent announced an older ring version.
  ring @9 :Ring;
}

struct GangView {
  job @0 :Text;
  attempt @1 :UInt64;
  members @2 :List(EntryAddress);
}

struct DispatchRequest {
  requestId @0 :Text;
  attempt @1 :UInt64;
  key @2 :Text;
  team @3 :Text;
  idempotent @4 :Bool;
  remainingMicros @5 :UInt64;
  traceparent @6 :Text;
  path @7 :Text;
  contentType @8 :Text;
  body @9 :Data;
}

struct Answer {
  requestId @0 :Text;
  attempt @1 :UInt64;
  status @2 :UInt16;
  contentType @3 :Text;
  # Length of the body as the agent received it; a mismatch is a truncation.
  bodyLength @4 :UInt64;
  body @5 :Data;
}

enum NotRunCode {
  badRequest @0;
  tooLarge @1;
  queueFull @2;
  noCapacity @3;
  busy @4;
  draining @5;
  expired @6;
  unreachable @7;
  claimUnavailable @8;
  notReady @9;
}

enum UncertainCode {
  connectionLost @0;
  truncated @1;
  timedOut @2;
  alreadyClaimed @3;
  unknownHistory @4;
}

struct Load {
  slots @0 :UInt32;
  inFlight @1 :UInt32;
  leaving @2 :Bool;
}

struct DispatchReply {
  load @0 :Load;
  union {
    answered @1 :Answer;
    notRun :group {
      code @2 :NotRunCode;
      retryAfterMicros @3 :UInt64;
    }
    mayHaveRun @4 :UncertainCode;
  }
}

struct ClaimRequest {
  key @0 :Text;
  entry @1 :Text;
  requestId @2 :Text;
  ringVersion @3 :UInt64;
  remainingMicros @4 :UInt64;
  team @5 :Text;
}

enum ClaimReply {
  granted @0;
  alreadyClaimed @1;
  uncertain @2;
  notHome @3;
  full @4;
  notReady @5;
}

struct TaskRef {
  job @0 :Text;
  attempt @1 :UInt64;
  task @2 :UInt64;
  token @3 :UInt64;
}

struct ReserveRequest {
  ref @0 :TaskRef;
  team @1 :Text;
  # Accelerators of the worker, by index.
  accelerators @2 :List(UInt32);
  gangSize @3 :UInt32;
  command @4 :Text;
  zoneVersion @5 :UInt64;
  remainingMicros @6 :UInt64;
}

struct GoRequest {
  ref @0 :TaskRef;
  zoneVersion @1 :UInt64;
  # Not after: the body starts within this time or not at all.
  remainingMicros @2 :UInt64;
  members @3 :List(EntryAddress);
}

enum TaskAnswer {
  done @0;
  staleToken @1;
  noLease @2;
  noRight @3;
  expired @4;
  noRoom @5;
  unknownTask @6;
  failed @7;
}

struct Beat {
  job @0 :Text;
  attempt @1 :UInt64;
  task @2 :UInt64;
  running @3 :Bool;
}

interface Agent {
  hello @0 (hello :Hello) -> (hello :Hello);
  dispatch @1 (request :DispatchRequest) -> (reply :DispatchReply);
  claim @2 (request :ClaimRequest) -> (reply :ClaimReply);
  reserve @3 (request :ReserveRequest) -> (answer :TaskAnswer);
  go @4 (request :GoRequest) -> (answer :TaskAnswer);
  stop @5 (ref :TaskRef) -> (answer :TaskAnswer);
  checkpoint @6 (ref :TaskRef) -> (answer :TaskAnswer);
  # Sent by gang members to the agent of the gang's first task.
  beat @7 (beat :Beat) -> (answer :TaskAnswer);
  # Gives a claim back whose request certainly did not run.
  settle @8 (request :ClaimRequest) -> ();
}

interface Entry {
  hello @0 (hello :Hello) -> (hello :Hello);
  announce @1 (announcement :Announcement) -> (reply :AnnounceReply);
}
