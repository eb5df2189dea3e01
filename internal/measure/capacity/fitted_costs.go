package capacity

import (
	"gonum.org/v1/gonum/stat"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

// linearFit is a fitted cost: fixed plus a slope per connection or agent.
type linearFit struct{ intercept, slope float64 }

func fit(x, y []float64) linearFit {
	fixed, slope := stat.LinearRegression(x, y, nil, false)
	return linearFit{intercept: max(fixed, 0), slope: max(slope, 0)}
}

func (l linearFit) at(n float64) float64 { return l.intercept + l.slope*n }

// fittedCosts are the fitted costs. The agents' lines are over the number of agents
// with one connection each, so their slopes are one whole agent.
type fittedCosts struct {
	entryCore, entryMemory, agentCore, agentMemory, bytes linearFit
}

func (l fittedCosts) print(p *figure.Printer) error {
	const mesh = float64(plannedAgents) / plannedDomains
	figures := []figure.Figure{
		{Name: "entry_core_share_per_connection", Value: l.entryCore.slope, Unit: "core"},
		{Name: "entry_memory_per_connection", Value: l.entryMemory.slope, Unit: "B"},
		{Name: "bytes_per_second_per_connection", Value: l.bytes.slope, Unit: "B/s"},
		{Name: "agent_core_share_with_one_connection", Value: l.agentCore.slope, Unit: "core"},
		{Name: "agent_memory_with_one_connection", Value: l.agentMemory.slope, Unit: "B"},
		extrapolate("entry_core_share", l.entryCore, entryConnections, mesh, "core", maxCoreShare),
		extrapolate("entry_bytes_per_second", l.bytes, entryConnections, mesh, "B/s", maxBytesPerSecond),
		extrapolate("entry_memory", l.entryMemory, entryConnections, mesh, "B", maxMemoryBytes),
		// Each connection is counted as a whole agent: an upper bound.
		extrapolate("agent_core_share", linearFit{slope: l.agentCore.slope}, agentConnections, plannedEntries, "core", maxCoreShare),
		extrapolate("agent_bytes_per_second", linearFit{slope: l.bytes.slope}, agentConnections, plannedEntries, "B/s", maxBytesPerSecond),
		extrapolate("agent_memory", l.agentMemory, agentConnections, plannedEntries, "B", maxMemoryBytes),
	}
	for _, f := range figures {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

// extrapolate works a line out to the planned number of connections. The baseline
// is a full mesh: all agents of the domain, or all entries.
func extrapolate(name string, l linearFit, connections, mesh float64, unit string, limit float64) figure.Figure {
	baseline := l.at(mesh)
	return figure.Figure{Name: name, Value: l.at(connections), Unit: unit, Bound: figure.AtMost(limit), Baseline: &baseline}
}
