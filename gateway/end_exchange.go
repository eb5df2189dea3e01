package gateway

// endExchange ends the exchange of an attempt. If the response has been read, the server still
// gets what is left of the request. Otherwise the connection is closed, which tells a server
// that is still running the request to stop.
func (r *request) endExchange(a *attempt) {
	a.release()
	if a.conn == nil || a.ended {
		return
	}
	a.ended = true
	if !a.conn.IsCompleted() || a.conn.IsTaken() {
		a.conn.Close()
		return
	}
	server := a.lease.Server
	r.gateway.lingering.finish(&lingeringExchange{conn: a.conn, request: r.info.ID, bytes: len(r.body), server: server.ID, address: server.Address})
}
