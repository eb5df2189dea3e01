package capacity

import "github.com/auburnbend/auburnbend/internal/measure/figure"

// lines are the fitted costs of a process.
type lines struct{ cpu, bytes, memory line }

func (l lines) print(p *figure.Printer) error {
	mesh := float64(plannedAgents) / plannedDomains
	figures := []figure.Figure{
		{Name: "connection_core_share", Value: l.cpu.slope, Unit: "core"},
		{Name: "connection_bytes_per_second", Value: l.bytes.slope, Unit: "B/s"},
		{Name: "connection_memory", Value: l.memory.slope, Unit: "B"},
		bounded("entry_core_share", l.cpu, entryConnections, mesh, "core", maxCoreShare),
		bounded("entry_bytes_per_second", l.bytes, entryConnections, mesh, "B/s", maxBytesSecond),
		bounded("entry_memory", l.memory, entryConnections, mesh, "B", maxMemoryBytes),
		bounded("agent_core_share", line{slope: l.cpu.slope}, agentConnections, plannedEntries, "core", maxCoreShare),
		bounded("agent_bytes_per_second", line{slope: l.bytes.slope}, agentConnections, plannedEntries, "B/s", maxBytesSecond),
		bounded("agent_memory", l.memory, agentConnections, plannedEntries, "B", maxMemoryBytes),
		{Name: "config_changes_per_second", Value: plannedChanges / secondsPerDay, Unit: "1/s"},
	}
	for _, f := range figures {
		if err := p.Print(f); err != nil {
			return err
		}
	}
	return p.Err()
}

// bounded works a line out to the planned number of connections. The baseline
// is a full mesh: all agents of the domain, or all entries.
func bounded(name string, l line, connections, mesh float64, unit string, limit float64) figure.Figure {
	baseline := l.at(mesh)
	return figure.Figure{Name: name, Value: l.at(connections), Unit: unit, Bound: figure.AtMost(limit), Baseline: &baseline}
}
