// What instances of a deployment say to each other.
// Regenerate: thrift -out currantdeal/adapters/generated --gen py docs/idl/peers.thrift
namespace py peers

enum FrameKind {
  NOTICE = 0
  CALL = 1
  ANSWER = 2
}

// One message on a connection between two instances.  The body is a typed
// message in MessagePack; an answer bears the number of its call.
struct Frame {
  1: FrameKind kind
  2: i32 number
  3: binary body
}
