package caller

import "github.com/auburnbend/auburnbend/lib/memory"

// Budgets returns the budgets of what the server holds, by kind.
func (s *Server) Budgets() map[string]*memory.Budget {
	return map[string]*memory.Budget{"request": s.bodies, "head": s.heads, "response": s.responses.first, "large_response": s.responses.large}
}
