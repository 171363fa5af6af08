package capacity

// Limits that the outbox of package record applies to a batch: it ends at maxBatchRecords records, or when the bodies
// with batchRecordOverhead bytes each exceed maxBatchBodyBytes, which is half of the largest batch.
const (
	maxBatchRecords     = 512
	batchRecordOverhead = 512
	maxBatchBodyBytes   = 512 << 10
)

// recordsPerBatch returns how many records with bodies of a length fit into one append.
func recordsPerBatch(body float64) float64 {
	return min(maxBatchRecords, float64(int(maxBatchBodyBytes/(body+batchRecordOverhead))))
}

// envelopeBytes is the approximate length of a record without its body.
const envelopeBytes = 150

// worstCases returns rare events with peak load, one table for each.
func (w workload) worstCases() []Role {
	return []Role{w.regionCutCase(), w.replacementCase(), w.topUpsCase(), w.outageCase()}
}

func (w workload) regionCutCase() Role {
	cut := w.value(w.in.RegionCutSeconds)
	lines := w.vmRequests * cut
	pending := w.value(w.in.MaxPendingBills)
	heap := w.costs.heap("ledgerLines").PerItem
	fold := w.costs.cpu("foldBillLines").PerItem
	return Role{Marker: "region-cut", Name: "A region without the platform", Rows: []Row{
		boundedRow(Unitless, pending, "Bill lines that one VM queues", lines, "%s/s x %s s", n(w.vmRequests), n(cut)),
		unboundedRow("Time until requests are refused", pending/w.vmRequests, Seconds, "%s lines / %s/s", n(pending), n(w.vmRequests)),
		w.memoryRow("Memory of the lines, own and replicas", 2*min(lines, pending)*heap, "2 x %s x %s B, taken as in the ledger", n(min(lines, pending)), n(heap)),
		boundedRow(Seconds, w.value(w.in.GrantHorizonSeconds), "Time that grants must last", cut, "cut / reserve of a holder"),
		unboundedRow("Applying the other regions' lines after the cut", cut*w.requests*fold, Seconds, "%s s x %s/s x %s us", n(cut), n(w.requests), n(fold*1e6)),
		unboundedRow("Silence of the region until all have suspected it", max(2*suspectSeconds, w.vms*remoteSecondsPerVM), Seconds, "as in the exchange section"),
	}}
}

func (w workload) replacementCase() Role {
	replaced := w.value(w.in.ReplacedShare) * w.vms
	held := w.shares.distinctBudgets(holderIdleSeconds*w.domainRequests) / w.vmsPerDomain
	frontiers := w.costs.bytes("sealRecord")
	record, _ := w.publicationBytes(w.value(w.in.Teams))
	snapshot := w.requests * secondsPerDay * w.costs.bytes("snapshotLines").PerItem
	seals := 2 * replaced
	regrants := replaced * held
	return Role{Marker: "replacement", Name: "15% of the VMs replaced at once", Rows: []Row{
		unboundedRow("VMs replaced", replaced, Unitless, "0.15 x %s", n(w.vms)),
		unboundedRow("Seal records, one by each witness", seals, Unitless, "2 x %s", n(replaced)),
		unboundedRow("Bytes of the seals, read by every VM", seals*frontiers.At(held), Bytes, "%s x (%s B + %s budgets x %s B)", n(seals), n(frontiers.Fixed), n(held), n(frontiers.PerItem)),
		unboundedRow("Budgets that change their holder", regrants, Unitless, "%s x %s", n(replaced), n(held)),
		unboundedRow("Appends of their grants, one VM in flight", replaced*max(1, held/recordsPerBatch(w.costs.bytes("grantRecords").PerItem-envelopeBytes)), Unitless,
			"at least one batch per VM that took over"),
		unboundedRow("Budget held by the dead until the seals are applied", regrants*minGrantTokens, Unitless, "tokens: %s x at least 4,096", n(regrants)),
		unboundedRow("Configuration read by the new VMs", replaced*record, Bytes, "%s x %s B", n(replaced), n(record)),
		w.memoryRow("Ledger snapshot that each new VM reads", snapshot, "%s/s x 86,400 s x %s B", n(w.requests), n(w.costs.bytes("snapshotLines").PerItem)),
	}}
}

func (w workload) topUpsCase() Role {
	bytes := w.costs.bytes("topUpRecords").PerItem
	recordsPerAppend := recordsPerBatch(bytes - envelopeBytes)
	copies := w.domains
	entries := copies * w.budgets / recordsPerAppend
	all := w.vms * w.budgets / recordsPerAppend
	rate := w.value(w.in.MaxLogAppends)
	return Role{Marker: "top-ups", Name: "All budgets topped up at the start of the month", Rows: []Row{
		unboundedRow("Records: the first VM of each domain appends all", copies*w.budgets, Unitless, "%s domains x %s", n(copies), n(w.budgets)),
		unboundedRow("Appends", entries, Unitless, "%s x %s / %s per batch", n(copies), n(w.budgets), n(recordsPerAppend)),
		boundedRow(Seconds, topUpRetrySeconds, "Time of these appends", entries/rate, "%s / %s/s", n(entries), n(rate)),
		unboundedRow("Appends if they take longer than 5 s: then every VM appends what it lacks", all, Unitless, "at most %s VMs x %s / %s", n(w.vms), n(w.budgets), n(recordsPerAppend)),
		unboundedRow("Bytes read by every VM", copies*w.budgets*bytes, Bytes, "%s x %s x %s B", n(copies), n(w.budgets), n(bytes)),
		unboundedRow("The same with one copy of each", w.budgets*bytes, Bytes, "%s x %s B", n(w.budgets), n(bytes)),
	}}
}

// topUpRetrySeconds is the time after which all VMs, not only the first of each domain, look for missing top-ups.
const topUpRetrySeconds = 5

func (w workload) outageCase() Role {
	outage := w.value(w.in.OutageSeconds)
	pending := w.value(w.in.MaxPendingBills)
	kept := min(w.vmRequests*outage, pending)
	untilFull := min(outage, pending/w.vmRequests)
	perFlush := max(1, w.vmRequests/billFlushesPerSecond)
	line := w.costs.bytes("billRecord")
	batch := recordsPerBatch(line.At(perFlush)-envelopeBytes) * perFlush
	appends := w.vms * max(1, kept/batch)
	rate := w.value(w.in.MaxLogAppends)
	fold := w.costs.cpu("foldBillLines").PerItem
	lines := w.requests * outage
	return Role{Marker: "outage", Name: "The platform is down for an hour", Rows: []Row{
		boundedRow(Unitless, pending, "Bill lines that one VM would queue", w.vmRequests*outage, "%s/s x %s s", n(w.vmRequests), n(outage)),
		unboundedRow("Time until requests are refused", untilFull, Seconds, "%s lines / %s/s", n(pending), n(w.vmRequests)),
		unboundedRow("Part of the hour's requests that is refused", 1-untilFull/outage, Unitless, "1 - %s / %s", n(untilFull), n(outage)),
		boundedRow(Seconds, w.value(w.in.GrantHorizonSeconds), "Time that grants must last", outage, "outage / reserve of a holder"),
		unboundedRow("Lines per append in the catch-up", batch, Unitless, "%s records of %s lines", n(batch/perFlush), n(perFlush)),
		unboundedRow("Appends of the lines that were kept", appends, Unitless, "%s VMs x %s / %s", n(w.vms), n(kept), n(batch)),
		unboundedRow("Time of these appends", appends/rate, Seconds, "%s / %s/s", n(appends), n(rate)),
		unboundedRow("Applying them in each VM", w.vms*kept*fold, Seconds, "%s x %s us of a core", n(w.vms*kept), n(fold*1e6)),
		unboundedRow("Time of the appends if all lines of the hour were kept", w.vms*max(1, lines/w.vms/batch)/rate, Seconds, "%s lines / %s / %s/s", n(lines), n(batch), n(rate)),
		unboundedRow("Applying all lines of the hour in each VM", lines*fold, Seconds, "%s x %s us of a core", n(lines), n(fold*1e6)),
	}}
}
