package capacity

import (
	"math"

	"ibiswinch/core/budget"
)

// Intervals and limits of the code, repeated here as the model needs them.
const (
	// billFlushesPerSecond follows from the 250 ms for which package entry batches bill lines.
	billFlushesPerSecond = 4
	// budgetTicksPerSecond follows from the 100 ms between two ticks of the budget code in package entry.
	budgetTicksPerSecond = 10
	// spenderIdleSeconds is how long a team is without requests before a spender restores its slices.
	spenderIdleSeconds = 5
	// holderIdleSeconds is how long a team is without draws before a holder returns its grant.
	holderIdleSeconds = 300
	// frontierRaisesPerSecond is 1 / (4 s - 1 s): a frontier is raised 4 s ahead, and again when 1 s is left.
	frontierRaisesPerSecond = 1.0 / 3
	// minGrantTokens is the least number of tokens that a holder wants to hold of a team.
	minGrantTokens = 4096
	// refillShare is the missing part of the wanted tokens at which a holder asks for more.
	refillShare = 0.2
)

func (w workload) requestPathRole() Role {
	choose := w.costs.cpu("tableChoose").At(w.domainEngines)
	reserve := w.costs.cpu("spenderReserve").At(w.shares.distinctBudgets(spenderIdleSeconds * w.vmRequests))
	hold := w.costs.cpu("peerCall").At(1)
	line, overhead := w.costs.bytes("holdBills").At(1), w.value(w.in.MessageOverhead)
	return Role{
		Marker: "request-path", Name: "Request path", Implementation: "`entry` filter chain, `routing.Table.Choose`, `budget.Spender`, `HoldBills`",
		FirstLimit: "the `HoldBills` call of each request, at " + n(w.value(w.in.NetworkBound)/(2*(line+2*overhead))) + " requests/s per VM",
		Rows: []Row{
			unboundedRow("Requests per VM", w.vmRequests, PerSec, "%s / %s", n(w.requests), n(w.vms)),
			unboundedRow("Tokens per VM", w.vmRequests*w.value(w.in.TokensPerRequest), PerSec, "%s x %s", n(w.vmRequests), n(w.value(w.in.TokensPerRequest))),
			w.cpuRow("Choice and reservation", w.vmRequests*(choose+reserve), "%s/s x (%s + %s us)", n(w.vmRequests), n(choose*1e6), n(reserve*1e6)),
			w.cpuRow("`HoldBills`, sent and served", w.vmRequests*hold, "%s/s x %s us", n(w.vmRequests), n(hold*1e6)),
			w.networkRow("`HoldBills`, sent and served", 2*w.vmRequests*(line+2*overhead), "2 x %s/s x (%s + 2 x %s B)", n(w.vmRequests), n(line), n(overhead)),
		},
	}
}

// budgetCalls are the calls between spenders, holders and witnesses, per second and VM.
type budgetCalls struct{ draws, restores, frontierCalls, frontiers float64 }

func (w workload) budgetCalls() budgetCalls {
	var b budgetCalls
	b.draws = w.shares.sum(func(p float64) float64 { return min(p*w.vmRequests, 1) })
	b.restores = w.shares.sum(func(p float64) float64 {
		rate := p * w.vmRequests
		return rate * math.Exp(-spenderIdleSeconds*rate)
	})
	perDomain := w.shares.sum(func(p float64) float64 { return min(p*w.domainRequests, frontierRaisesPerSecond) })
	b.frontiers = perDomain / w.vmsPerDomain
	b.frontierCalls = flushesPerSecond(b.frontiers, budgetTicksPerSecond)
	return b
}

// grantRates returns how many grant and return records the fleet writes per second.
func (w workload) grantRates() (grants, returns float64) {
	tokens := w.value(w.in.TokensPerRequest)
	horizon := w.value(w.in.GrantHorizonSeconds)
	for _, p := range w.shares {
		rate := p * w.domainRequests
		refill := refillShare * max(minGrantTokens, rate*tokens*horizon)
		idle := rate * math.Exp(-holderIdleSeconds*rate)
		grants += w.domains * (rate*tokens/refill + idle)
		returns += w.domains * idle
	}
	return grants, returns
}

func (w workload) holdersRole() Role {
	b := w.budgetCalls()
	remote := 1 - 1/max(w.vmsPerDomain, 1)
	held := w.shares.distinctBudgets(holderIdleSeconds*w.domainRequests) / w.vmsPerDomain
	active := w.shares.distinctBudgets(spenderIdleSeconds * w.vmRequests)
	// pairs counts the budgets of this VM's holder once for each other VM of the domain that spends from them.
	pairs := active * max(w.vmsPerDomain-1, 0) / w.vmsPerDomain
	holder, spender := w.costs.heap("holderBudgets").PerItem, w.costs.heap("spenderBudgets").PerItem
	perSpender := w.costs.heap("holderSpenders").PerItem / benchmarkedBudgets
	tick := w.costs.cpu("holderTick").PerItem
	rank := w.costs.cpu("viewRank").At(w.vms)
	call := w.costs.cpu("peerCall").At(1)
	draw, overhead := w.costs.bytes("draws").PerItem, w.value(w.in.MessageOverhead)
	frontier := w.costs.bytes("frontierRequest")
	domainBudgets := w.shares.distinctBudgets(holderIdleSeconds * w.domainRequests)
	calls := remote*(b.draws+b.restores) + b.frontierCalls
	traffic := 2 * (remote*(b.draws+b.restores)*(draw+2*overhead) + b.frontierCalls*(frontier.Fixed+2*overhead) + b.frontiers*frontier.PerItem)
	return Role{
		Marker: "holders", Name: "Holder, spender and witness", Implementation: "`budget.Holder`, `budget.Spender`, `budget.Witness`; `Draw`, `Restore`, `AdvanceFrontier`",
		FirstLimit: "the calls for slices, at " + n(w.value(w.in.NetworkBound)/traffic*w.vmRequests) + " requests/s per VM with these budgets",
		Rows: []Row{
			unboundedRow("Budgets held per VM", held, Unitless, "%s used in a domain within 300 s / %s VMs", n(domainBudgets), n(w.vmsPerDomain)),
			unboundedRow("Budgets spent from per VM", active, Unitless, "distinct of 5 s x %s requests/s", n(w.vmRequests)),
			unboundedRow("Draws per VM", b.draws, PerSec, "sum of min(requests/s of a budget, 1)"),
			unboundedRow("Restores per VM", b.restores, PerSec, "sum of r exp(-5 s x r)"),
			unboundedRow("Frontiers per VM", b.frontiers, PerSec, "sum of min(requests/s of a budget in the domain, 1/3) / %s", n(w.vmsPerDomain)),
			unboundedRow("`AdvanceFrontier` calls per VM", b.frontierCalls, PerSec, "10 x (1 - exp(-%s / 10))", n(b.frontiers)),
			w.networkRow("Slices and frontiers, sent and served", traffic, "2 x (%s/s x (%s + 2 x %s B) + %s/s x (%s + 600 B) + %s/s x %s B)",
				n(remote*(b.draws+b.restores)), n(draw), n(overhead), n(b.frontierCalls), n(frontier.Fixed), n(b.frontiers), n(frontier.PerItem)),
			w.cpuRow("Calls", calls*call, "%s/s x %s us", n(calls), n(call*1e6)),
			w.cpuRow("Ticks of the holder", held*tick, "%s budgets x 1/s x %s us", n(held), n(tick*1e6)),
			w.cpuRow("Rendezvous ranks", (b.draws+budgetTicksPerSecond)*rank, "(%s + 10)/s x %s us", n(b.draws), n(rank*1e6)),
			w.memoryRow("Heap of holder and spender", held*holder+pairs*perSpender+active*spender,
				"%s x %s B + %s pairs x %s B + %s x %s B", n(held), n(holder), n(pairs), n(perSpender), n(active), n(spender)),
		},
	}
}

// benchmarkedBudgets is the number of budgets in the series holderSpenders, whose items are the spenders per budget.
const benchmarkedBudgets = 1000

// ledgerAppends returns the fleet's appends to the ledger stream per second: those of bill lines, grants and returns.
func (w workload) ledgerAppends() (bills, grants, returns float64) {
	grantRate, returnRate := w.grantRates()
	return w.vms * flushesPerSecond(w.vmRequests, billFlushesPerSecond), w.vms * flushesPerSecond(grantRate/w.vms, budgetTicksPerSecond), w.vms * flushesPerSecond(returnRate/w.vms, billFlushesPerSecond)
}

func (w workload) ledgerRole() Role {
	bills, grants, returns := w.ledgerAppends()
	grantRate, returnRate := w.grantRates()
	lineBytes, billBytes := w.costs.bytes("billRecord").PerItem, w.costs.bytes("billRecord").Fixed
	grantBytes := w.costs.bytes("grantRecords").PerItem
	foldLine, foldGrant := w.costs.cpu("foldBillLines").PerItem, w.costs.cpu("foldGrants").PerItem
	foldBill := w.costs.cpu("foldBillLines").Fixed
	retentionSeconds := budget.IdentityRetention.Seconds()
	lines := w.requests * retentionSeconds
	lineHeap := w.costs.heap("ledgerLines").PerItem
	budgetHeap := w.costs.heap("ledgerBudgets").PerItem
	grantHeap := w.costs.heap("ledgerBudgetsGranted").PerItem - budgetHeap
	// pairs counts the budgets in use once for each failure domain with a grant.
	pairs := w.domains * w.shares.distinctBudgets(holderIdleSeconds*w.domainRequests)
	appends := bills + grants + returns
	reads, read := w.logReads(appends)
	return Role{
		Marker: "ledger", Name: "Ledger and bill lines", Implementation: "`ledger.0`, read by every VM; `budget.Ledger`, `record.Stream`, `record.Outbox`",
		FirstLimit: "memory of billed identities, at " + n(w.value(w.in.MemoryBound)/(lineHeap*retentionSeconds)) + " requests/s of the fleet over 4 h; then bytes, at " +
			n(w.value(w.in.NetworkBound)/lineBytes) + " requests/s, and processor time, at " + n(w.value(w.in.CPUBound)/foldLine) + " requests/s",
		Rows: []Row{
			unboundedRow("Grant and return records", grantRate+returnRate, PerSec, "%s grants + %s returns, each refill a fifth of max(4,096 tokens, 900 s)", n(grantRate), n(returnRate)),
			w.appendRow("Appends of bill lines", bills, "%s x 4 x (1 - exp(-%s / 4))", n(w.vms), n(w.vmRequests)),
			w.appendRow("Appends of grants and returns", grants+returns, "%s x (10 x (1 - exp(-%s / 10)) + 4 x (1 - exp(-%s / 4)))", n(w.vms), n(grantRate/w.vms), n(returnRate/w.vms)),
			unboundedRow("Time of an append if the platform serves the writers in turn", w.vms/w.value(w.in.MaxLogAppends), Seconds,
				"%s / %s/s, since a VM has one append in flight per stream", n(w.vms), n(w.value(w.in.MaxLogAppends))),
			w.networkRow("Bytes read by each VM", w.requests*lineBytes+bills*billBytes+(grantRate+returnRate)*grantBytes, "%s/s x %s B + %s/s x %s B + %s/s x %s B",
				n(w.requests), n(lineBytes), n(bills), n(billBytes), n(grantRate+returnRate), n(grantBytes)),
			w.cpuRow("Applying in each VM", w.requests*foldLine+bills*foldBill+(grantRate+returnRate)*foldGrant, "%s/s x %s us + %s/s x %s us + %s/s x %s us",
				n(w.requests), n(foldLine*1e6), n(bills), n(foldBill*1e6), n(grantRate+returnRate), n(foldGrant*1e6)),
			w.cpuRow("Reads of the stream", reads*read, "min(%s, %s)/s x %s us (half of client and server of a small call)", n(appends), n(w.value(w.in.MaxLogReads)), n(read*1e6)),
			w.networkRow("Headers of these reads", 2*reads*w.value(w.in.MessageOverhead), "2 x %s/s x %s B", n(reads), n(w.value(w.in.MessageOverhead))),
			w.memoryRow("Heap of billed identities", lines*lineHeap, "%s/s x 14,400 s x %s B", n(w.requests), n(lineHeap)),
			w.memoryRow("Heap of budgets and grants", w.budgets*budgetHeap+pairs*grantHeap, "%s x %s B + %s x %s B", n(w.budgets), n(budgetHeap), n(pairs), n(grantHeap)),
			unboundedRow("Entries that the platform hands out", appends*w.vms, PerSec, "%s appends/s x %s readers", n(appends), n(w.vms)),
		},
	}
}

// logReads returns how often one VM reads a stream per second, and the processor time of one read. Each append ends a
// long poll, up to the highest rate of reads.
func (w workload) logReads(appends float64) (perSecond, cpu float64) {
	return min(appends, w.value(w.in.MaxLogReads)), w.costs.cpu("loadPolls").PerItem / 2
}

// bodyHeapBytes is the heap size class of the result body in the benchmark, maxBodiesBytes the limit of package order
// on the bytes of all remembered bodies.
const (
	bodyHeapBytes  = 208
	maxBodiesBytes = 16 << 20
)

// orderAppends returns the fleet's appends to the orders stream per second.
func (w workload) orderAppends() float64 {
	perVM := w.orders / w.vms
	return w.vms * perVM * (1 + math.Exp(-perVM/billFlushesPerSecond))
}

func (w workload) ordersRole() Role {
	perVM := w.orders / w.vms
	bytes, fold := w.costs.bytes("orderRecords").PerItem, w.costs.cpu("foldOrders").PerItem
	heap := w.costs.heap("orders").PerItem - bodyHeapBytes
	reads, read := w.logReads(w.orderAppends())
	return Role{
		Marker: "orders", Name: "Orders", Implementation: "`orders`, read by every VM; `order.Registry`, `order.Attempt`",
		FirstLimit: "memory of remembered orders, at " + n(w.value(w.in.MemoryBound)/(heap*secondsPerDay)) + " orders/s over 24 h; then bytes, at " +
			n(w.value(w.in.NetworkBound)/bytes) + " orders/s, and appends, at " + n(w.value(w.in.MaxLogAppends)/(w.orderAppends()/w.orders)) + " orders/s",
		Rows: []Row{
			unboundedRow("Orders per VM", perVM, PerSec, "%s / %s", n(w.orders), n(w.vms)),
			w.appendRow("Appends", w.orderAppends(), "%s claims + %s results that meet no claim within 250 ms", n(w.orders), n(w.orderAppends()-w.orders)),
			w.networkRow("Bytes read by each VM", w.orders*bytes, "%s/s x %s B", n(w.orders), n(bytes)),
			w.cpuRow("Applying in each VM", w.orders*fold, "%s/s x %s us", n(w.orders), n(fold*1e6)),
			w.cpuRow("Reads of the stream", reads*read, "min(%s, %s)/s x %s us", n(w.orderAppends()), n(w.value(w.in.MaxLogReads)), n(read*1e6)),
			w.networkRow("Headers of these reads", 2*reads*w.value(w.in.MessageOverhead), "2 x %s/s x %s B", n(reads), n(w.value(w.in.MessageOverhead))),
			w.memoryRow("Heap of remembered orders", w.orders*secondsPerDay*heap+maxBodiesBytes, "%s/s x 86,400 s x %s B + 16 MiB of bodies", n(w.orders), n(heap)),
		},
	}
}
