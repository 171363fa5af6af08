package cost

// Size returns the numbers of reports of entry VMs and of failure domains, and of servers with a sum.
func (b *Board) Size() (members, domains, servers int) {
	return len(b.members), len(b.domains), len(b.totals)
}
