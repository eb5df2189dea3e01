package wire

// ConnectionReject says why a Hello was refused, before the connection closes.
type ConnectionReject struct {
	Reason string `msgpack:"r"`
}

// Type returns TypeConnectionReject.
func (*ConnectionReject) Type() Type { return TypeConnectionReject }
