// Calls between instances that concern the replicated state.
// Regenerate: thrift -out currantdeal/adapters/generated --gen py docs/idl/consensus.thrift
namespace py consensus

// One entry of the log; without a command it only moves the version on.
struct LogEntry {
  1: i64 index
  2: bool command
  3: binary data
}

struct ReplicaAddress {
  1: string instance
  2: string address
}

// An instance asks for a lease on its view, and for what it has not seen.
struct RenewRequest {
  1: string instance
  2: string region
  3: i64 version
  4: bool forwarded
}

struct RenewAnswer {
  1: bool granted
  2: double remaining_s
  3: i64 version
  4: list<LogEntry> entries
  5: bool snapshot_needed
  6: string leader
  7: list<ReplicaAddress> replicas
}

enum ProposeStatus {
  DONE = 0
  NOT_PROPOSED = 1
  UNKNOWN = 2
}

struct ProposeRequest {
  1: binary command
  2: double timeout_s
  3: i64 version
  4: bool forwarded
}

struct ProposeAnswer {
  1: ProposeStatus status
  2: string message
  3: i64 version
  4: binary result
  5: list<LogEntry> entries
  6: string leader
}

// A part of the encoded state at a version; version 0 asks for the latest.
struct StatePieceRequest {
  1: i64 version
  2: i64 offset
}

struct StatePiece {
  1: i64 version
  2: i64 total
  3: binary data
}

struct InForceAnswer {
  1: bool leads
  2: bool in_force
}

struct HolderProgress {
  1: string instance
  2: string region
  3: i64 version
  4: double lease_remaining_s
}

struct ProgressAnswer {
  1: bool leads
  2: list<HolderProgress> holders
}

struct HelloAnswer {
  1: bool fresh
  2: bool blank
  3: string leader
}

struct JoinRequest {
  1: string instance
  2: string address
  3: bool blank
  4: bool forwarded
}

service Replica {
  list<binary> deliver(1: list<binary> messages)
  RenewAnswer renew(1: RenewRequest request)
  ProposeAnswer propose(1: ProposeRequest request)
  StatePiece state_piece(1: StatePieceRequest request)
  InForceAnswer in_force(1: i64 version)
  ProgressAnswer progress()
  void release_lease(1: string instance)
  HelloAnswer hello()
  bool join(1: JoinRequest request)
}
