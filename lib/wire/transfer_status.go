package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// TransferStatus reports the progress of an instance to a tracker.
type TransferStatus struct {
	Manifest    model.Digest `msgpack:"m"`
	Phase       Phase        `msgpack:"p"`
	OriginBytes int64        `msgpack:"o"`
	PeerBytes   int64        `msgpack:"b"`
	TotalBytes  int64        `msgpack:"t"`
}

// Type returns TypeTransferStatus.
func (*TransferStatus) Type() Type { return TypeTransferStatus }
