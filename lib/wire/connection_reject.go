package wire

// ConnectionReject gives the reason why a Hello was rejected. The sender then closes
// the connection.
type ConnectionReject struct {
	Reason string `msgpack:"r"`
}

// Type returns TypeConnectionReject.
func (*ConnectionReject) Type() Type { return TypeConnectionReject }
