package capacity

import (
	"gonum.org/v1/gonum/stat"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// linearFit is a cost fitted as a fixed part plus a slope per connection or agent.
type linearFit struct{ intercept, slope float64 }

func fit(x, y []float64) linearFit {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	return linearFit{intercept: max(intercept, 0), slope: max(slope, 0)}
}

func (l linearFit) at(n float64) float64 { return l.intercept + l.slope*n }

// fittedCosts holds the costs of a node over the number of agents: CPU as a share
// of a core, memory in bytes, and bytes per second. Each agent has one connection,
// so the slopes of the agent costs include the whole cost of an agent.
type fittedCosts struct {
	entryCPU, entryMemory, agentCPU, agentMemory, bytes linearFit
}

func (c fittedCosts) print(p *figure.Printer) error {
	const domainAgents = float64(plannedAgents) / plannedDomains
	figures := []figure.Figure{
		{Name: "entry_core_share_per_connection", Value: c.entryCPU.slope, Unit: "core"},
		{Name: "entry_memory_per_connection", Value: c.entryMemory.slope, Unit: "B"},
		{Name: "bytes_per_second_per_connection", Value: c.bytes.slope, Unit: "B/s"},
		{Name: "agent_core_share_with_one_connection", Value: c.agentCPU.slope, Unit: "core"},
		{Name: "agent_memory_with_one_connection", Value: c.agentMemory.slope, Unit: "B"},
		extrapolate("entry_core_share", c.entryCPU, entryConnections, domainAgents, "core", maxCoreShare),
		extrapolate("entry_bytes_per_second", c.bytes, entryConnections, domainAgents, "B/s", maxBytesPerSecond),
		extrapolate("entry_memory", c.entryMemory, entryConnections, domainAgents, "B", maxMemoryBytes),
		// Counting each connection as a whole agent gives an upper bound.
		extrapolate("agent_core_share", linearFit{slope: c.agentCPU.slope}, agentConnections, plannedEntries, "core", maxCoreShare),
		extrapolate("agent_bytes_per_second", linearFit{slope: c.bytes.slope}, agentConnections, plannedEntries, "B/s", maxBytesPerSecond),
		extrapolate("agent_memory", c.agentMemory, agentConnections, plannedEntries, "B", maxMemoryBytes),
	}
	for _, f := range figures {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

// extrapolate returns the cost at the planned number of connections. The baseline
// is a full mesh: connections with all agents of the domain, or all entries.
func extrapolate(name string, l linearFit, connections, meshConnections float64, unit string, limit float64) figure.Figure {
	baseline := l.at(meshConnections)
	return figure.Figure{Name: name, Value: l.at(connections), Unit: unit, Bound: figure.AtMost(limit), Baseline: &baseline}
}
