@0xb3c1f0a94d2e7756;
# RPC protocol between the processes of the fleet.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("snipeshore::inner::rpc");

struct DocumentVersion {
  name @0 :Text;      # "config", "keys" or "drains"
  version @1 :UInt64; # 0: none
}

struct Document {
  name @0 :Text;
  version @1 :UInt64;
  union {
    text @2 :Text;    # whole JSON document
    patches @3 :List(Text); # JSON Patches, one per version; the first applies to baseVersion
  }
  baseVersion @4 :UInt64;
  digest @5 :Text; # digest of the text of `version`; patches are not installed without it
}

enum HostStatus {
  live @0;
  leaving @1;
  dead @2;
}

struct HostRecord {
  # Written by the host itself, except for the status "dead".
  hostId @0 :Text;
  failureDomain @1 :Text;
  incarnation @2 :UInt64; # of the agent
  counter @3 :UInt64;     # increases with each change of the record
  status @4 :HostStatus;
  agentAddress @5 :Text;
  lookupAddress @6 :Text;
  entryAddress @7 :Text;
  entryInnerAddress @8 :Text;
  entryIncarnation @9 :UInt64; # 0: no entry process is running
  ticketEpoch @10 :UInt64;
  versions @11 :List(DocumentVersion); # in force on this host
  entryConfigVersion @12 :UInt64;      # in force in its entry process
}

struct Cursor {
  versions @0 :List(DocumentVersion);
  membersRevision @1 :UInt64;
  steeringRevision @2 :UInt64;
}

struct SiteWeights {
  # Weights of one service's failure domains for callers of one site. The admitted and the refused
  # fractions (`weights` and `refused`) are in units of 1/65536 and add up to 65536.
  site @0 :Text;
  service @1 :Text;
  failureDomains @2 :List(Text);
  weights @3 :List(UInt32);
  refused @4 :List(UInt32);
}

struct Snapshot {
  documents @0 :List(Document); # those newer than the cursor
  members @1 :List(HostRecord); # all, if membersRevision is newer
  membersRevision @2 :UInt64;
  weights @3 :List(SiteWeights); # all, if steeringRevision is newer
  steeringRevision @4 :UInt64;
  contactAgeMs @5 :UInt64; # since the agent's last contact with the store or another failure domain
  listedKnown @6 :Bool;        # the agent has read the platform's host list
  listedHosts @7 :List(Text);  # hosts on that list, live or leaving
}

struct RowDemand {
  # Rate of look-ups, per second, for one site and service.
  site @0 :Text;
  service @1 :Text;
  rate @2 :Float64;
}

struct ProcessReport {
  # State of a local entry or lookup process, which the agent puts into the host's record.
  entryIncarnation @0 :UInt64;
  ticketEpoch @1 :UInt64;
  leaving @2 :Bool;
  configVersion @3 :UInt64;       # in force in this process; 0: not an entry process
  demand @4 :List(RowDemand);     # from a lookup process, since its last report
  weights @5 :List(SiteWeights);  # in force in a lookup process, sent after its agent did not respond
}

struct DomainHash {
  failureDomain @0 :Text;
  hash @1 :UInt64; # over (hostId, incarnation, counter, status) of its records
}

interface Agent {
  watch @0 (cursor :Cursor, report :ProcessReport) -> (snapshot :Snapshot);
  # Long poll: returns as soon as something is newer than the cursor, after a second at the latest.

  exchange @1 (sender :HostRecord, versions :List(DocumentVersion), hashes :List(DomainHash))
      -> (versions :List(DocumentVersion), documents :List(Document), records :List(HostRecord),
          contactAgeMs :UInt64);
  # Returns what the sender is missing: documents newer than its versions, and the records of the
  # failure domains whose hashes differ.

  push @2 (documents :List(Document), records :List(HostRecord)) -> ();
  # Sends the peer what it is missing, as found by `exchange`.

  probe @3 (sender :HostRecord) -> (record :HostRecord);
}

struct TicketAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;

  struct Header {
    name @0 :Text;
    value @1 :Text;
  }
}

interface Entry {
  borrow @0 (account :Text, rate :Float64, tokens :Float64, borrower :Text,
             borrowerIncarnation :UInt64, configVersion :UInt64)
      -> (rate :Float64, tokens :Float64, leaseMs :UInt32, loan :UInt64, burst :Float64);
  # For the borrower, the lease starts when it sends the call.

  giveBack @1 (loan :UInt64) -> ();

  claim @2 (ticket :Text, account :Text, claimer :Text, claimerIncarnation :UInt64, attempt :UInt64)
      -> (verdict :ClaimVerdict, answer :TicketAnswer);

  complete @3 (ticket :Text, attempt :UInt64, answer :TicketAnswer, claimer :Text,
               claimerIncarnation :UInt64) -> ();

  release @4 (ticket :Text, attempt :UInt64, claimer :Text, claimerIncarnation :UInt64) -> ();
  # The claimed request was definitely not sent to any target; the ticket can be claimed again.

  reportCrash @5 (reporter :Text, crash :UInt64, target :Text, fingerprints :List(UInt64)) -> ();

  reportSuccess @6 (fingerprints :List(UInt64)) -> ();

  enum ClaimVerdict {
    granted @0;
    running @1;  # claimed before; no outcome yet
    done @2;     # the response is attached
    unknown @3;  # claimed before; the outcome cannot be determined, or the ticket is from an old epoch
    invalid @4;
  }
}

interface Node extends(Agent, Entry) {
  # Bootstrap capability of every connection. Methods of an interface that a process does not serve
  # fail with "not_found".
}
