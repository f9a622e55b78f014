// How a VM follows the tables that another one reads from the store.

struct Row {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
}

struct Changes {
  1: string table,
  // Whether rows that are not named are gone.
  2: bool whole,
  3: list<Row> rows,
  // Newest transaction of the store that is known.
  4: i64 version,
  // For how long the table may have been outdated when the answer was sent.
  5: double ageSeconds,
}

struct FollowRequest {
  1: i16 protocolVersion,
  // Version of each table that the asking VM has, -1 for none.
  2: map<string, i64> versions,
  3: i32 waitMilliseconds,
}

struct FollowAnswer {
  1: i16 protocolVersion,
  2: list<Changes> tables,
  // The store's steady clock when the answer was sent.
  3: double storeClock,
  // Since the last failed call to the store; negative for none.
  4: double storeFailedSeconds,
}
