@0xd86941ad0dd0313b;
# Messages between an entry and an agent. To stay compatible, only add fields, with the next free
# number. Durations are in microseconds; -1 means that an optional value is absent.

struct Envelope {
  union {
    entryHello @0 :EntryHello;
    agentHello @1 :AgentHello;
    heartbeat @2 :Heartbeat;
    reserve @3 :Reserve;
    granted @4 :Granted;
    refused @5 :Refused;
    withdraw @6 :Named;
    submit @7 :Submit;
    responseHead @8 :ResponseHead;
    chunks @9 :List(Chunk);
    end @10 :End;
    credit @11 :Credit;
    attach @12 :Attach;
    detached @13 :Named;
    configurationRequest @14 :ConfigurationRequest;
    configurationRecords @15 :List(ConfigurationRecord);
  }
}

struct Named { requestId @0 :Text; }

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct EntryHello {
  entryId @0 :Text;
  zone @1 :Text;
  revision @2 :Int64;
  version @3 :UInt32;
}

struct AgentHello {
  agentId @0 :Text;
  zone @1 :Text;
  kind @2 :Text;
  targets @3 :List(Text);
  revision @4 :Int64;
  version @5 :UInt32;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  predictedWait @3 :Int64;
  draining @4 :Bool;
}

struct Heartbeat {
  sequence @0 :UInt64;
  revision @1 :Int64;
  load @2 :Load;
  leaving @3 :Bool;
}

struct Reserve {
  requestId @0 :Text;
  requestClass @1 :Text;
  account @2 :Text;
  target @3 :Text;
  remaining @4 :Int64;
  promptTokens @5 :UInt32;
  expectedTokens @6 :UInt32;
  prefixHash @7 :UInt64;
  resumedTokens @8 :UInt32;
  idempotent @9 :Bool;
  orderKey @10 :Text;
  bodyDigest @11 :Data;
  orderTime @12 :Float64;
}

struct Granted {
  requestId @0 :Text;
  lifetime @1 :Int64;
}

struct Outcome {
  kind @0 :Text;
  reason @1 :Text;
  retryAfter @2 :Int64 = -1;
  tokens @3 :UInt32;
  status @4 :Int32 = -1;
}

struct Refused {
  requestId @0 :Text;
  outcome @1 :Outcome;
}

struct Submit {
  requestId @0 :Text;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  traceparent @5 :Text;
  resumeText @6 :Text;
  window @7 :UInt32;
}

struct ResponseHead {
  requestId @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
}

struct Chunk {
  requestId @0 :Text;
  sequence @1 :UInt64;
  data @2 :Data;
  tokens @3 :UInt32;
}

struct End {
  requestId @0 :Text;
  sequence @1 :UInt64;
  outcome @2 :Outcome;
  promptTokens @3 :UInt32;
  cachedTokens @4 :UInt32;
}

struct Credit {
  requestId @0 :Text;
  sequence @1 :UInt64;
  window @2 :UInt32;
}

struct Attach {
  requestId @0 :Text;
  account @1 :Text;
  sequence @2 :UInt64;
  window @3 :UInt32;
}

struct ConfigurationRequest { offset @0 :Int64; }

struct ConfigurationRecord {
  offset @0 :Int64;
  payload @1 :Data;
}
