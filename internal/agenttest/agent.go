// Package agenttest provides a fake agent for tests of entries. It speaks the protocol
// of lib/wire on a loopback listener and leaves the responses to the test.
package agenttest

import (
	"net"
	"sync"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/heartbeat"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// queueLength is the number of messages and connections that each channel buffers.
const queueLength = 256

// Agent is a fake agent. Its methods are safe for concurrent use.
type Agent struct {
	// RequestStarts delivers RequestStart messages. OtherMessages delivers all other
	// messages except Heartbeat, EntryList and ConfigFetch. When a channel is full,
	// the connection is not read any further.
	RequestStarts chan Received
	OtherMessages chan Received
	// Conns delivers each new connection after its handshake.
	Conns chan *wire.Conn

	mu                sync.Mutex
	hello             wire.Hello
	heartbeatTemplate wire.Heartbeat
	listener          net.Listener
	// conns holds all open connections; the value is nil during the handshake.
	conns map[net.Conn]*wire.Conn
}

// Received is a message from an entry.
type Received struct {
	Conn    *wire.Conn
	Message wire.Message
}

// Start starts an agent of a pool that serves the given weights, on a loopback
// address of its own, as it may stop and listen again.
func Start(identity model.Identity, pool string, live ...model.Weights) (*Agent, error) {
	a := &Agent{
		RequestStarts:     make(chan Received, queueLength),
		OtherMessages:     make(chan Received, queueLength),
		Conns:             make(chan *wire.Conn, queueLength),
		hello:             wire.Hello{Role: wire.RoleAgent, Identity: identity, Pool: pool},
		heartbeatTemplate: wire.Heartbeat{LiveWeights: live, Load: wire.Load{Capacity: 4}},
		conns:             make(map[net.Conn]*wire.Conn),
	}
	ip, err := loopback.NewIP()
	if err != nil {
		return nil, err
	}
	return a, a.Listen(net.JoinHostPort(ip, "0"))
}

// Listen starts to accept connections at an address. It is also called after Stop to
// bring the agent back.
func (a *Agent) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener, a.hello.Identity.Address = l, l.Addr().String()
	go a.accept(l)
	return nil
}

// Stop closes the listener and all open connections.
func (a *Agent) Stop() {
	a.mu.Lock()
	_ = a.listener.Close()
	a.mu.Unlock()
	a.CloseConns()
}

// CloseConns closes all open connections.
func (a *Agent) CloseConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for nc := range a.conns {
		_ = nc.Close()
	}
}

// SetGeneration changes the agent's generation number from the next connection on.
func (a *Agent) SetGeneration(g model.Generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hello.Identity.Generation = g
}

// SetInstance changes the agent's instance name from the next connection on.
func (a *Agent) SetInstance(id model.InstanceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hello.Identity.Instance = id
}

// SetLoad changes the load in heartbeats. Once an entry's fleet shows the new load, it
// has handled all messages that were sent before.
func (a *Agent) SetLoad(l wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heartbeatTemplate.Load = l
}

func (a *Agent) heartbeat() wire.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heartbeatTemplate
}

// Identity returns the agent's identity with the address of the listener.
func (a *Agent) Identity() model.Identity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hello.Identity
}

// Instance returns the agent's record for the platform's instance list.
func (a *Agent) Instance() backing.Instance {
	i := a.Identity()
	return backing.Instance{ID: i.Instance, Role: backing.RoleAgent, Location: i.Location, Address: i.Address}
}

// Broadcast sends a message on all open connections.
func (a *Agent) Broadcast(m wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		if c != nil {
			_ = c.Send(m)
		}
	}
}

func (a *Agent) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go a.serve(nc)
	}
}

func (a *Agent) serve(nc net.Conn) {
	a.mu.Lock()
	hello := a.hello
	a.conns[nc] = nil
	a.mu.Unlock()
	defer func() {
		_ = nc.Close()
		a.mu.Lock()
		delete(a.conns, nc)
		a.mu.Unlock()
	}()
	conn, _, err := wire.Handshake(nc, hello)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	a.mu.Lock()
	a.conns[nc] = conn
	a.mu.Unlock()
	sender := heartbeat.Sender{Conn: conn, Heartbeat: a.heartbeat, InFlight: func() int { return 1 }}
	go sender.Run()
	a.Conns <- conn
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		switch m.(type) {
		case *wire.RequestStart:
			a.RequestStarts <- Received{conn, m}
		case *wire.Heartbeat, *wire.EntryList, *wire.ConfigFetch:
		default:
			a.OtherMessages <- Received{conn, m}
		}
	}
}

// Attempt returns the attempt id of a RequestStart, or "" for other messages.
func (r Received) Attempt() model.AttemptID {
	if start, ok := r.Message.(*wire.RequestStart); ok {
		return start.Attempt
	}
	return ""
}

// SendFrame sends one frame of the response to a RequestStart.
func (r Received) SendFrame(sequence uint64, data string) {
	_ = r.Conn.Send(&wire.ResponseFrame{Attempt: r.Attempt(), Sequence: sequence, Data: []byte(data)})
}

// SendEnd sends the end of a completed response. Body is the data of all frames
// together.
func (r Received) SendEnd(frames uint64, body string) {
	_ = r.Conn.Send(CompletedEnd(r.Attempt(), frames, body))
}
