package loopback

import "net"

// Serve serves each connection of a TCP listener in a goroutine of its own, and closes the
// connection afterwards. It returns once the listener is closed.
func Serve(ln net.Listener, serve func(conn *net.TCPConn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn.(*net.TCPConn))
		}()
	}
}
