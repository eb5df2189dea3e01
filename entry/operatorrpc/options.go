package operatorrpc

import "google.golang.org/grpc"

// maxMessageBytes is the maximum size of a message. A configuration takes up to 3 MiB in
// its own encoding, but more than gRPC's default limit of 4 MiB as a message.
const maxMessageBytes = 16 << 20

// Options returns the options that a gRPC server needs for messages with a whole
// configuration. They do not include credentials.
func Options() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes)}
}
