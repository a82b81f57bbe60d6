// Calls between an entry and the home of an upstream, and between homes.
// Messages are the data classes of currantdeal/membership/home_messages.py,
// encoded by core.Codec, so that one definition serves the home on the same
// instance, which is reached without Thrift, and those on others.

exception HomeRefused {
  1: binary refusal
}

service Homes {
  // ReserveCall in, Grant out.
  binary reserve(1: binary call) throws (1: HomeRefused refused)

  // GrowCall in; whether the grant was enlarged.
  bool grow(1: binary call)

  // Sync in, SyncAnswer out: the heartbeat of an entry with its releases
  // and the load reports that it passes on.
  binary sync(1: binary beat)

  // ClaimsCall of a new home in, ClaimsAnswer out.
  binary claims(1: binary call)

  // Reports whose home the sender cannot reach itself.
  oneway void pass_on(1: binary reports)
}
