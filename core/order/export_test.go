package order

import "time"

// NewRegistryWithRetention returns a registry that keeps settled orders for d. A short d lets a test reach the end of
// the retention with few records.
func NewRegistryWithRetention(d time.Duration) *Registry {
	g := NewRegistry()
	g.retention = d
	return g
}
