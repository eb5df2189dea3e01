package operatorrpc

import "google.golang.org/grpc"

// maxMessage bounds a call in bytes. A configuration has up to 3 MiB in its own
// encoding, which is over the 4 MiB that gRPC allows by default once it is a
// message.
const maxMessage = 16 << 20

// Options returns what a gRPC server needs to take whole configurations, beside
// the credentials that the assembly sets.
func Options() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage)}
}
