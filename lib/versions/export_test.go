package versions

// Declarations returns the number of declarations of a model that are kept.
func (r *Registry) Declarations(model string) int { return len(r.declarations[model]) }
