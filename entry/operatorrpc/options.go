package operatorrpc

import (
	"time"

	"google.golang.org/grpc"
)

const (
	// maxMessageBytes is the maximum size of a message. A configuration takes up to 3 MiB in
	// its own encoding, but more than gRPC's default limit of 4 MiB as a message.
	maxMessageBytes = 16 << 20
	// maxStreams bounds the calls on one connection, and maxHeaderListBytes the fields of each.
	// The library has no bound on the former, and one of 16 MiB on the latter.
	maxStreams         = 16
	maxHeaderListBytes = 16 << 10
	// setupTimeout bounds the time in which a connection must be set up.
	setupTimeout = 5 * time.Second
	// bufferBytes is the size of each buffer of a connection.
	bufferBytes = 8 << 10
)

// Options returns the options that a gRPC server needs for messages with a whole
// configuration, and to bound what clients can make it hold. They do not include credentials.
func Options() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(setupTimeout), grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
	}
}
