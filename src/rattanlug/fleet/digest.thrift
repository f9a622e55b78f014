// Digest of one VM, or of the VMs of a data centre; one digest per datagram.

struct OutcomeCount {
  1: string serviceName,
  2: string route,
  3: i32 newGood,
  4: i32 newBad,
  5: i32 oldGood,
  6: i32 oldBad,
}

struct Member {
  1: string vm,
  2: i64 incarnation,
  3: i64 sequence,
  4: string host,
  5: i32 port,
  6: bool leaving,
  7: bool overloaded,
  8: i32 ageMilliseconds,
}

struct Digest {
  1: i16 protocolVersion,
  2: string vm,
  3: i64 incarnation,
  4: i64 sequence,
  5: string dataCentre,
  6: string host,
  7: i32 port,
  8: bool leaving,
  9: i64 stateVersion,
  10: map<string, double> demand,
  11: list<OutcomeCount> outcomes,
  12: list<i64> reverted,
  // Whether the sender forwards the digest of another VM.
  13: bool passedOn,
  14: bool overloaded,
  15: bool hearsCentres,
  16: list<Member> members,
  // Era of the store that the row versions belong to.
  17: optional i64 storeEra,
}
