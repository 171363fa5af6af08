// Package budget keeps the prepaid token budgets of teams. It has four state machines without clock, goroutine or I/O:
//
//   - Ledger is the state that results from applying the records of a ledger stream: top-ups, grants, bills.
//   - Holder takes tokens from the pool of a team, its tokens that are not granted, as a grant for its failure domain. It
//     issues parts of the grant, called slices, to spenders that draw them.
//   - Spender reserves the tokens of requests from slices and restores unused slices to their holder.
//   - Witness is a peer of a holder that acknowledges the holder's frontiers. A frontier is the cumulative number of
//     tokens that the holder may issue for a team. Once all its witnesses have sealed a holder, the tokens beyond the
//     highest acknowledged frontier can't be issued any more and return to the pool.
//
// A process has one of each per ledger stream and drives them from one goroutine, or under one lock. It passes the
// records of the log to the ledger through record.Stream, the actions of Tick to the outbox and the peers, and the
// replies of the peers back:
//
//	ledger := budget.NewLedger()
//	stream := record.NewStream(ledger)
//	holder := budget.NewHolder(budget.HolderConfig{Author: self, Ledger: ledger})
//	spender := budget.NewSpender(budget.SpenderConfig{Author: self, Ledger: ledger})
//	witness := budget.NewWitness(self, ledger)
//
//	// For each entry of the log:
//	stream.Apply(offset, data)
//	holder.SetLogReadTime(now)
//
//	// Every 100 ms or so, and after a reply without enough tokens:
//	holder.SetCandidates(peersOfDomain)
//	actions := holder.Tick(now)
//	for _, e := range actions.Records() {
//		outbox.Add(now, e.Kind, e.Body)
//	}
//	for _, r := range actions.FrontierRequests {
//		holder.ApplyFrontierReply(r, peer(r.Witness).AdvanceFrontier(r)) // witness.Acknowledge there
//	}
//	moves := spender.Tick(now)
//	for _, d := range moves.Draws {
//		spender.ApplyDrawReply(now, peer(holderOf(d.Team)).Draw(d)) // holder.Draw there
//	}
//	for _, r := range moves.Restores {
//		spender.ApplyRestoreReply(now, peer(r.Holder).Restore(r)) // holder.Restore there
//	}
//	for _, r := range moves.Returns {
//		outbox.Add(now, record.KindReturn, r)
//	}
//
//	// For each request:
//	result := spender.Reserve(now, team, worstCase)
//	// On NeedsDraw: send result.Draw, pass the reply to ApplyDrawReply, call Reserve again until the
//	// deadline of the request.
//	spender.Settle(now, result.Reservation, used)
//	// Once the ledger has a bill line for the identity, compare its Spender and Reservation:
//	spender.Confirm(result.Reservation) // the line belongs to this reservation
//	spender.Refund(now, result.Reservation) // the line belongs to another reservation
//
//	// When a VM doesn't answer, its peers seal its holders. This is also safe if the VM still runs:
//	for _, s := range witness.Seal(holderID) {
//		outbox.Add(now, record.KindSeal, s)
//	}
//
//	// Planned stop: spender.Stop, run Tick until the requests have ended and the restores are answered, then append
//	// spender.Release() and holder.Close().
//
// Tick repeats messages that were lost. Messages may arrive late or more than once.
package budget
