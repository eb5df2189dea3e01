// Package agenttest is an agent for tests of entries: it speaks lib/wire over a
// loopback listener and answers attempts as the test says.
package agenttest

import (
	"net"
	"sync"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/heartbeat"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// queue bounds the messages that wait for the test.
const queue = 256

// Agent is a fake agent. Its methods are safe for concurrent use.
type Agent struct {
	// RequestStarts delivers the attempts that entries send, Others all messages but
	// those and heartbeats.
	RequestStarts chan Received
	OtherMessages chan Received
	// Conns delivers each new connection after its handshake.
	Conns chan *wire.Conn

	mu       sync.Mutex
	hello    wire.Hello
	beat     wire.Heartbeat
	listener net.Listener
	// open holds nil for connections whose handshake is under way.
	open map[net.Conn]*wire.Conn
}

// Received is a message of an entry.
type Received struct {
	Conn    *wire.Conn
	Message wire.Message
}

// Start starts an agent of a pool that serves the given weights.
func Start(identity model.Identity, pool string, live ...model.Weights) (*Agent, error) {
	a := &Agent{
		RequestStarts: make(chan Received, queue),
		OtherMessages: make(chan Received, queue),
		Conns:         make(chan *wire.Conn, queue),
		hello:         wire.Hello{Role: wire.RoleAgent, Identity: identity, Pool: pool},
		beat:          wire.Heartbeat{LiveWeights: live, Load: wire.Load{Capacity: 4}},
		open:          make(map[net.Conn]*wire.Conn),
	}
	return a, a.Listen("127.0.0.1:0")
}

// Listen accepts connections at an address again after Stop.
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

// Stop refuses connections and closes those that are open.
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
	for nc := range a.open {
		_ = nc.Close()
	}
}

// SetGeneration makes the agent another generation from the next connection on.
func (a *Agent) SetGeneration(g model.Generation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hello.Identity.Generation = g
}

// SetInstance gives the agent another name from the next connection on.
func (a *Agent) SetInstance(id model.InstanceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hello.Identity.Instance = id
}

// SetLoad changes the load in heartbeats. A fleet that shows it has handled all
// that was sent before.
func (a *Agent) SetLoad(l wire.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beat.Load = l
}

func (a *Agent) heartbeat() wire.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beat
}

// Identity returns the identity with the address of the listener.
func (a *Agent) Identity() model.Identity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hello.Identity
}

// Instance returns the agent's line in the platform's list.
func (a *Agent) Instance() backing.Instance {
	i := a.Identity()
	return backing.Instance{ID: i.Instance, Role: backing.RoleAgent, Location: i.Location, Address: i.Address}
}

// Broadcast sends a message on all open connections.
func (a *Agent) Broadcast(m wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.open {
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
	a.open[nc] = nil
	a.mu.Unlock()
	defer func() {
		_ = nc.Close()
		a.mu.Lock()
		delete(a.open, nc)
		a.mu.Unlock()
	}()
	conn, _, err := wire.Handshake(nc, hello)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	a.mu.Lock()
	a.open[nc] = conn
	a.mu.Unlock()
	beats := heartbeat.Sender{Conn: conn, Heartbeat: a.heartbeat, InFlight: func() int { return 1 }}
	go beats.Run()
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

// Attempt returns the attempt of a RequestStart.
func (r Received) Attempt() model.AttemptID {
	if start, ok := r.Message.(*wire.RequestStart); ok {
		return start.Attempt
	}
	return ""
}

// SendFrame sends one piece of an answer.
func (r Received) SendFrame(sequence uint64, data string) {
	_ = r.Conn.Send(&wire.ResponseFrame{Attempt: r.Attempt(), Sequence: sequence, Data: []byte(data)})
}

// SendEnd closes an answer that consists of the given number of frames.
func (r Received) SendEnd(frames uint64, whole string) {
	_ = r.Conn.Send(CompletedEnd(r.Attempt(), frames, whole))
}
