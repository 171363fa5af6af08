package placement

import "slices"

// Regions is the set of regions whose servers may take a call. The zero value allows all regions.
type Regions struct {
	names      []string
	restricted bool
}

// AllowedRegions returns the regions that all lists have in common. An empty list allows all regions.
func AllowedRegions(lists ...[]string) Regions {
	var r Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !r.restricted:
			r = Regions{names: list, restricted: true}
		default:
			r.names = slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return r
}

// allows reports whether servers of a region may take the call.
func (r Regions) allows(region string) bool { return !r.restricted || slices.Contains(r.names, region) }

// SetRegions sets the regions of the failure domains. Servers of other domains take only calls that all regions may take.
func (t *Table) SetRegions(byDomain map[string]string) { t.regions = byDomain }

// allowsRegion reports whether the region of a server may take a call.
func (t *Table) allowsRegion(s *server, allowed Regions) bool {
	region, known := t.regions[s.Zone]
	return !allowed.restricted || known && allowed.allows(region)
}

// HasServersIn reports whether the service has servers that take further calls of some regions.
func (t *Table) HasServersIn(service string, allowed Regions) bool {
	return slices.ContainsFunc(t.byService[service], func(s *server) bool { return !t.isClosed(s) && t.allowsRegion(s, allowed) })
}
