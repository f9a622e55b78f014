// Messages by which a VM follows the tables of another VM.

struct Row {
  1: string key,
  2: binary value,
  3: i64 version,
  4: bool removed,
}

struct Changes {
  1: string table,
  // Whether the rows are the whole table, so that all others have been removed.
  2: bool whole,
  3: list<Row> rows,
  // Latest transaction of the store that the sender knows.
  4: i64 version,
  // Time since the table was last known to be up to date, when the response was sent.
  5: double ageSeconds,
  // Era of the store that the version belongs to; 0 if it is unknown.
  6: optional i64 era,
}

struct FollowRequest {
  1: i16 protocolVersion,
  // Version of each table that the requesting VM has; -1 for none.
  2: map<string, i64> versions,
  3: i32 waitMilliseconds,
  // Era of the store that each version belongs to.
  4: optional map<string, i64> eras,
}

struct FollowAnswer {
  1: i16 protocolVersion,
  2: list<Changes> tables,
  // The store's monotonic clock when the response was sent, seconds.
  3: double storeClock,
  // Time since the last failed call to the store; negative without one.
  4: double storeFailedSeconds,
}
