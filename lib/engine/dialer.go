package engine

import (
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// dialer marks connection errors with ErrNotStarted, because no byte of the
// request was sent. Its connections limit heads and trailers.
type dialer struct {
	network.Dialer
}

func newDialer() network.Dialer { return dialer{standard.NewDialer()} }

// DialConnection implements network.Dialer. Its errors wrap ErrNotStarted.
func (d dialer) DialConnection(nw, address string, timeout time.Duration, cfg *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(nw, address, timeout, cfg)
	if err != nil {
		return nil, notStarted(err)
	}
	return &boundedConn{Conn: conn}, nil
}
