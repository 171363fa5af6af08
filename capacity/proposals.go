package capacity

import (
	"slices"

	"ibiswinch/core/budget"
)

// Parameters of the proposed changes, none of which is implemented.
const (
	// holdBillsCallsPerSecond is the number of HoldBills calls of a VM per second if it batches bill lines for 250 ms.
	holdBillsCallsPerSecond = 4
	// spendersPerBudget is how many VMs of a domain would spend from a small budget.
	spendersPerBudget = 2
	// readersPerPartition is the number of VMs that read each partition of bill lines and of orders.
	readersPerPartition = 2
	// callerIdentityShare is the assumed share of requests whose identity was chosen by the caller.
	callerIdentityShare = 0.05
	// identityEntryBytes is the size of a remembered identity: a hash of 16 bytes and a time.
	identityEntryBytes = 24
	// batchSeconds is how long bill lines and grants would wait for a common append.
	batchSeconds = 10
	// orderAppendsPerSecond is the number of appends per second of the one VM that claims orders for its domain.
	orderAppendsPerSecond = 10
	// incarnationBytes is the size of an incarnation in a message, with its tag and length.
	incarnationBytes = 18
	// sectionRecordBytes is the size of a publication of one changed section, with its envelope.
	sectionRecordBytes = 500
	// pollSeconds is the interval of the polls of an engine of which the VM has a share, cacheEventBytes the size of a
	// cache event in a binary encoding.
	pollSeconds, cacheEventBytes = 2, 8
)

// Proposal is a proposed design change that isn't implemented, with its estimated load.
type Proposal struct {
	Marker string
	Rows   []Row
}

func (w workload) proposals() []Proposal {
	return []Proposal{
		{"request-path-direction", w.requestPathProposal()},
		{"holders-direction", w.holdersProposal()},
		{"ledger-direction", w.ledgerProposal()},
		{"orders-direction", w.ordersProposal()},
		{"versions-direction", w.versionsProposal()},
		{"configuration-direction", w.configurationProposal()},
		{"snapshots-direction", w.snapshotsProposal()},
		{"polling-direction", w.pollingProposal()},
		{unchangedMarker, w.unchangedRows()},
	}
}

// unchangedRows returns the rows of the current code that no proposal changes.
func (w workload) unchangedRows() []Row {
	var rows []Row
	for _, role := range w.roles() {
		for _, row := range role.Rows {
			if slices.Contains(unchangedRowNames, row.Name) {
				row.ExcludedFromTotal = false
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// unchangedMarker is the marker of the table of rows that no proposal changes.
const unchangedMarker = "unchanged-direction"

var unchangedRowNames = []string{
	"Choice and reservation", "Ticks of the holder", "Rendezvous ranks", "Heap of holder and spender",
	"Heap of the evidence", "Tests", "Bytes without a version change", "Calls and partners", "Heap of the view",
	"Heap with the teams, two versions while one replaces the other", "Ticks of the table", "Heap of the table",
}

func (w workload) requestPathProposal() []Row {
	overhead, line, call := w.value(w.in.MessageOverhead), w.costs.bytes("holdBills"), w.costs.cpu("peerCall").At(w.vmRequests/holdBillsCallsPerSecond)
	return []Row{
		w.networkRow("Lines batched for 250 ms, sent and served", 2*(holdBillsCallsPerSecond*(2*overhead+line.Fixed)+w.vmRequests*line.PerItem),
			"2 x (4/s x (600 + %s B) + %s/s x %s B)", n(line.Fixed), n(w.vmRequests), n(line.PerItem)),
		w.cpuRow("Calls", holdBillsCallsPerSecond*call, "4/s x %s us", n(call*1e6)),
	}
}

func (w workload) holdersProposal() []Row {
	current := w.budgetCalls()
	// One of the two spenders of a budget is also its holder, so only the other one draws over the network.
	calls := w.shares.sum(func(p float64) float64 { return min(p*w.domainRequests/spendersPerBudget, 1) }) / w.vmsPerDomain
	overhead, frontier := w.value(w.in.MessageOverhead), w.costs.bytes("frontierRequest")
	bytes := 2 * calls * (w.costs.bytes("draws").PerItem + 2*overhead)
	return []Row{
		unboundedRow("Draws between VMs, "+n(current.draws)+"/s with today's code", calls, PerSec, "sum of min(requests/s of a budget in the domain / 2, 1) / %s", n(w.vmsPerDomain)),
		w.networkRow("Draws, sent and served", bytes, "2 x %s/s x (%s + 600 B)", n(calls), n(w.costs.bytes("draws").PerItem)),
		w.networkRow("Frontiers as today", 2*(current.frontierCalls*(frontier.Fixed+2*overhead)+current.frontiers*frontier.PerItem),
			"2 x (%s/s x (%s + 600 B) + %s/s x %s B)", n(current.frontierCalls), n(frontier.Fixed), n(current.frontiers), n(frontier.PerItem)),
		w.cpuRow("Calls", (calls+current.frontierCalls)*w.costs.cpu("peerCall").At(1), "%s/s x %s us", n(calls+current.frontierCalls), n(w.costs.cpu("peerCall").At(1)*1e6)),
	}
}

func (w workload) ledgerProposal() []Row {
	lines := readersPerPartition * w.vmRequests
	line, wire := w.costs.bytes("billRecord").PerItem, w.costs.bytes("holdBills").PerItem
	fold := w.costs.cpu("foldBillLines").PerItem
	grants, returns := w.grantRates()
	partitions := w.domains
	records := (grants + returns) * partitions / w.vms
	budgets := w.budgets * partitions / w.vms
	grantHeap := w.costs.heap("ledgerBudgetsGranted").PerItem - w.costs.heap("ledgerBudgets").PerItem
	heap := budgets * (w.costs.heap("ledgerBudgets").PerItem + w.domains*grantHeap)
	return []Row{
		unboundedRow("Lines that a keeper applies, 2 keepers per partition", lines, PerSec, "2 x %s / %s", n(w.requests), n(w.vms)),
		excludeFromTotal(w.networkRow("Their bytes as JSON", lines*line, "%s/s x %s B", n(lines), n(line))),
		w.networkRow("Their bytes as in `HoldBills`", lines*wire, "%s/s x %s B", n(lines), n(wire)),
		w.cpuRow("Applying them", lines*fold, "%s/s x %s us", n(lines), n(fold*1e6)),
		excludeFromTotal(w.memoryRow("All identities of 4 h as hash and time", lines*budget.IdentityRetention.Seconds()*identityEntryBytes, "%s/s x 14,400 s x 24 B", n(lines))),
		w.memoryRow("Identities of callers alone (5%), the others as ranges per incarnation", lines*callerIdentityShare*budget.IdentityRetention.Seconds()*identityEntryBytes, "%s/s x 0.05 x 14,400 s x 24 B", n(lines)),
		w.appendRow("Appends of lines batched for 10 s", w.vms/batchSeconds, "%s / 10 s", n(w.vms)),
		w.appendRow("Appends of grants batched for 10 s", w.vms/batchSeconds, "%s / 10 s, one partition of budgets per holder", n(w.vms)),
		unboundedRow("Grant and return records in the 15 of 850 partitions that a VM holds", records, PerSec, "%s/s x %s / %s", n(grants+returns), n(partitions), n(w.vms)),
		w.networkRow("Their bytes", records*w.costs.bytes("grantRecords").PerItem, "%s/s x %s B", n(records), n(w.costs.bytes("grantRecords").PerItem)),
		w.memoryRow("Heap of the budgets and grants of these partitions", heap, "%s budgets x (%s + %s domains x %s B)", n(budgets), n(w.costs.heap("ledgerBudgets").PerItem), n(w.domains), n(grantHeap)),
	}
}

func (w workload) ordersProposal() []Row {
	perVM := readersPerPartition * w.orders / w.vms
	bytes := w.costs.bytes("orderRecords").PerItem
	perDomain := w.orders / w.domains
	heap := w.costs.heap("orders").PerItem - bodyHeapBytes
	return []Row{
		w.appendRow("Appends, one VM of each domain for all, every 100 ms", w.domains*orderAppendsPerSecond, "%s x 10/s", n(w.domains)),
		unboundedRow("Bytes of one append", perDomain/orderAppendsPerSecond*bytes, Bytes, "%s/s / 10 x %s B", n(perDomain), n(bytes)),
		w.networkRow("Bytes read with 2 readers per partition", perVM*bytes, "2 x %s/s / %s x %s B", n(w.orders), n(w.vms), n(bytes)),
		excludeFromTotal(w.memoryRow("Heap of 24 h as today", perVM*secondsPerDay*heap, "%s/s x 86,400 s x %s B", n(perVM), n(heap))),
		w.memoryRow("Heap of 24 h as hash and time", perVM*secondsPerDay*identityEntryBytes, "%s/s x 86,400 s x 24 B", n(perVM)),
	}
}

func (w workload) versionsProposal() []Row {
	items := w.domains * w.value(w.in.Routes) * w.value(w.in.OpenChanges)
	received := w.exchanges() * 2 * maxDigestEvidence
	itemBytes := w.costs.bytes("digestEvidence").PerItem - incarnationBytes
	messages := w.exchanges() * 4
	return []Row{
		unboundedRow("Items as sums per domain", items, Unitless, "%s x %s x %s", n(w.domains), n(w.value(w.in.Routes)), n(w.value(w.in.OpenChanges))),
		unboundedRow("Time to receive all items once", items/received, Seconds, "%s / %s/s", n(items), n(received)),
		w.networkRow("Two items per message without the incarnation", messages*2*itemBytes, "%s/s x 2 x %s B", n(messages), n(itemBytes)),
		unboundedRow("Time to receive all items then", items/(w.exchanges()*2*2), Seconds, "%s / %s/s", n(items), n(w.exchanges()*2*2)),
	}
}

func (w workload) configurationProposal() []Row {
	rate := w.value(w.in.Publications) / secondsPerDay
	sectionCPU := w.costs.cpu("foldPublishTeams").PerItem
	return []Row{
		w.networkRow("Publications of one changed section", rate*sectionRecordBytes, "%s/s x 500 B", n(rate)),
		w.cpuRow("Parsing one section", rate*sectionCPU, "%s/s x %s us", n(rate), n(sectionCPU*1e6)),
		unboundedRow("Chance that two edits of 10 s meet in one of the teams' sections", rate*10/w.value(w.in.Teams), Unitless, "%s/s x 10 s / %s", n(rate), n(w.value(w.in.Teams))),
	}
}

func (w workload) snapshotsProposal() []Row {
	// pairs counts the budgets in use once for each failure domain with a grant.
	pairs := w.domains * w.shares.distinctBudgets(holderIdleSeconds*w.domainRequests)
	stateBytes := w.budgets*w.costs.bytes("snapshotBudgets").PerItem + pairs*w.costs.bytes("snapshotGrants").PerItem
	return []Row{
		unboundedRow("Whole state of budgets and grants", stateBytes, Bytes, "%s x %s B + %s x %s B", n(w.budgets), n(w.costs.bytes("snapshotBudgets").PerItem), n(pairs), n(w.costs.bytes("snapshotGrants").PerItem)),
		withOwnBound(snapshotPartBytes, unboundedRow("State of one of 850 partitions, against one part", stateBytes/w.vms, Bytes, "%s B / %s", n(stateBytes), n(w.vms))),
		w.appendRow("Appends, one writer per partition and 10 minutes", w.vms/600, "%s / 600 s", n(w.vms)),
	}
}

func (w workload) pollingProposal() []Row {
	overhead := w.value(w.in.MessageOverhead)
	polls := w.sharedEngines / pollSeconds
	answer := w.costs.bytes("loadReports").PerItem + 2*overhead
	events := w.sharedEngines * w.requests / w.value(w.in.Engines) * w.value(w.in.CacheEvents)
	poll := w.costs.cpu("loadPolls").PerItem / 2
	lists := w.costs.bytes("vmList").At(w.vms) + w.costs.bytes("serverList").At(w.value(w.in.Engines)+w.value(w.in.PlainServers))
	client, conn := w.costs.heap("engineClients").PerItem, w.costs.heap("connections").PerItem/2
	changes := (w.value(w.in.VMFailures) + w.value(w.in.VMRestarts)) / secondsPerDay
	return []Row{
		w.networkRow("Engines with a share only, every 2 s", polls*answer, "%s / 2 s x %s B", n(w.sharedEngines), n(answer)),
		w.networkRow("Their cache events in the same answer, 8 B each", events*cacheEventBytes, "%s/s x 8 B", n(events)),
		w.cpuRow("Both", polls*poll, "%s/s x %s us", n(polls), n(poll*1e6)),
		w.memoryRow("Connections and clients, one of each per engine with a share", w.sharedEngines*(client+conn), "%s x (%s + %s B)", n(w.sharedEngines), n(client), n(conn)),
		w.networkRow("Whole lists, only when they changed", changes*lists, "%s changes/s x %s B", n(changes), n(lists)),
	}
}

// withOwnBound gives a row a bound that doesn't apply to the total.
func withOwnBound(bound float64, r Row) Row {
	r.Bound, r.ExcludedFromTotal = bound, true
	return r
}
