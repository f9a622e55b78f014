// Messages between daemons. Compact protocol, one Envelope per frame.
//
// Compatibility: fields are only ever added, with a new number and a default that
// is safe when an older sender omits it. Ages are durations in milliseconds on
// the sender's clock; the default means "unknown" and counts as too old.

namespace py rattanlug.peer.generated

const i32 UNKNOWN_AGE_MS = 2147483647

enum MemberState {
  STARTING = 1
  SERVING = 2
  LEAVING = 3
}

// An omitted field leaves the receiver's value for that incarnation unchanged.
struct MemberUpdate {
  1: string vm = ""
  2: i64 incarnation = 0
  3: i32 age_ms = UNKNOWN_AGE_MS      // of the update; if suspect, since the failed contact
  4: optional bool suspect
  5: optional MemberState state
  6: optional string data_centre
  7: optional string host
  8: optional i32 port
  9: optional string peer_host         // omitted when equal to host
  10: optional i32 peer_port
  11: optional i32 protocol_version
  12: optional i64 config_version
}

struct MoveResult {
  1: string move = ""
  2: string state = ""                 // "done" or "taken_back"
  3: i64 term = 0
}

// Request and response have the same form.
struct Gossip {
  1: i64 incarnation = 0
  2: MemberState state = MemberState.STARTING
  3: optional list<MemberUpdate> members
  4: i64 config_version = 0
  5: i32 evidence_age_ms = UNKNOWN_AGE_MS
  6: i64 evidence_version = 0
  7: i32 data_centres_digest = 0       // CRC-32 of the sorted names that ages refers to
  8: optional binary ages              // in responses, see data_centre_ages.py
  9: optional map<string, i32> ages_by_name_ms  // while the two ends list different names
  10: i32 load = 0                     // per mille of capacity
  11: optional list<MoveResult> finished_moves
  12: i32 bucket = 0                   // part of the member table that is compared
  13: i32 bucket_digest = 0
  14: optional bool sender_unknown     // asks the receiver to include its own record
  15: optional i32 ages_from           // position of the first data centre in ages
}

struct FetchMembers {
  1: string after = ""                 // name of the last VM of the previous page
}

struct Members {
  1: list<MemberUpdate> members = []
  2: bool more = false
}

struct LoanIdentity {
  1: string seat = ""
  2: i64 term = 0
  3: i64 number = 0
}

struct TokenRequest {
  1: string organisation = ""
  2: double amount = 0
}

struct Settlement {
  1: LoanIdentity loan
  2: string organisation = ""
  3: double unused = 0
}

struct BorrowTokens {
  1: list<TokenRequest> requests = []
  2: list<Settlement> settlements = []
}

struct Loan {
  1: LoanIdentity loan
  2: string organisation = ""
  3: double tokens = 0
}

struct Loans {
  1: list<Loan> loans = []
}

struct BorrowSlot {
  1: string service_name = ""           // "service" is a reserved word of thrift
  2: string version = ""
  3: i32 deadline_ms = 0
  4: string organisation = ""
}

struct SlotLoan {
  1: bool granted = false
  2: LoanIdentity loan
  3: string upstream = ""
  4: i32 slot = -1
  5: i32 life_ms = 0
}

struct ReturnSlot {
  1: LoanIdentity loan
  2: string upstream = ""
  3: i32 slot = -1
}

struct Done {
}

struct FetchConfiguration {
  1: i64 from_version = 0              // 0 asks for the full text
  2: string from_digest = ""
}

struct ConfigurationDelta {
  1: i64 base_version = 0
  2: i64 version = 0
  3: string digest = ""
  4: string text = ""                  // see rattanlug.configuration.delta
}

// Either the full text, compressed with zlib, or a chain of deltas.
struct ConfigurationData {
  1: i64 version = 0
  2: string digest = ""
  3: optional binary compressed_text
  4: optional list<ConfigurationDelta> deltas
  5: string author = ""
  6: double at = 0                     // when it was stored, seconds since the epoch
}

struct ConfigurationAcknowledgement {
  1: i64 version = 0                   // the version in force at the receiver
  2: string digest = ""
  3: bool accepted = false
}

struct PushConfiguration {
  1: ConfigurationData configuration
}

struct OutcomeCount {
  1: string route = ""
  2: string version = ""
  3: i64 total = 0
  4: i64 errors = 0
  5: i64 slow = 0
  6: i64 cold = 0                      // requests to upstreams that had just started
}

struct ReportOutcomes {
  1: string move = ""
  2: list<OutcomeCount> counts = []
  3: string stopped = ""               // why the sender's local guard stopped
  4: bool capped = false               // whether the cap held back requests
}

struct Allowance {
  1: string route = ""
  2: i64 requests = 0
}

struct Shares {
  1: string move = ""
  2: string state = ""
  3: i64 term = 0
  4: double share = 0
  5: list<Allowance> allowances = []
}

struct ReleaseSeat {
  1: string seat = ""
}

struct SeatRelease {
  1: string seat = ""
  2: bool released = false
  3: i64 term = 0
}

// Asks for the receiver's last direct contact with a VM.
struct FetchLastHeard {
  1: string vm = ""
  2: i64 incarnation = 0
}

struct LastHeard {
  1: string vm = ""
  2: i64 incarnation = 0
  3: i32 age_ms = 0                    // 0 when omitted: an incomplete response never permits a takeover
}

struct RelayPlatform {
  1: binary request = ""
}

struct PlatformAnswer {
  1: binary answer = ""
}

struct Failure {
  1: string kind = ""                  // an error kind, or empty for a fault of the receiver
  2: string detail = ""
}

// Exactly one message field is set. A response has the id of its request.
struct Envelope {
  1: i64 id = -1
  2: i32 protocol_version = 0
  3: string sender = ""
  4: optional Failure failure
  5: optional Gossip gossip
  6: optional FetchMembers fetch_members
  7: optional Members members
  8: optional BorrowTokens borrow_tokens
  9: optional Loans loans
  10: optional BorrowSlot borrow_slot
  11: optional SlotLoan slot_loan
  12: optional ReturnSlot return_slot
  13: optional Done done
  14: optional FetchConfiguration fetch_configuration
  15: optional ConfigurationData configuration_data
  16: optional PushConfiguration push_configuration
  17: optional ConfigurationAcknowledgement configuration_acknowledgement
  18: optional ReportOutcomes report_outcomes
  19: optional Shares shares
  20: optional ReleaseSeat release_seat
  21: optional SeatRelease seat_release
  22: optional FetchLastHeard fetch_last_heard
  23: optional LastHeard last_heard
  24: optional RelayPlatform relay_platform
  25: optional PlatformAnswer platform_answer
}
