package capacity

import (
	"math"

	"ibiswinch/core/budget"
	"ibiswinch/core/membership"
)

// Intervals and limits of the code, repeated here as the model needs them.
const (
	// roundsPerSecond is the number of rounds of the peer exchange per second.
	roundsPerSecond               = 2
	localPartners, remotePartners = membership.DefaultLocalPartners, membership.DefaultRemotePartners
	maxDigestMembers              = membership.MaxDigestMembers
	// The other limits of a digest are those that package entry applies.
	maxDigestEvidence, maxDigestOffers, maxDigestRows = 12, 8, 24
	// changeTestsPerSecond follows from the 500 ms that package rollout keeps between two tests of a change with evidence
	// of many authors.
	changeTestsPerSecond = 2
	// loadPollsPerSecond follows from the interval of load reports of an engine, eventPollsPerSecond from the 5 s that a
	// read of cache events waits for one.
	loadPollsPerSecond, eventPollsPerSecond = 2, 1.0 / 5
	// listReadsPerSecond follows from the default of the setting listInterval.
	listReadsPerSecond = 1
	// tableTicksPerSecond follows from the 100 ms between two ticks of the routing table.
	tableTicksPerSecond = 10
	// maxTextBytes and maxCompressedBytes are the limits of core/config on the texts of a publication.
	maxTextBytes, maxCompressedBytes = 8 << 20, 640 << 10
	// base64Growth is the ratio of the length of base64 to that of its input. Records carry compressed texts in base64.
	base64Growth = 4.0 / 3
	// snapshotEntries is the default of the setting of that name, snapshotPartBytes the size of a snapshot part in package
	// record.
	snapshotEntries, snapshotPartBytes = 5000, 256 << 10
	// suspectSeconds is the default of package membership for how long a VM of the own domain is silent before it is
	// suspected. A VM of another domain gets remoteSecondsPerVM for each VM of the fleet, but at least twice
	// suspectSeconds.
	suspectSeconds, remoteSecondsPerVM = 3, 0.1
)

func (w workload) versionsRole() Role {
	changes, routes := w.value(w.in.OpenChanges), w.value(w.in.Routes)
	tick := w.costs.cpu("changeTick").At(w.vms)
	item := w.costs.bytes("digestEvidence").PerItem
	heap := w.costs.heap("evidence").PerItem
	items := w.vms * routes * changes
	received := w.exchanges() * 2 * maxDigestEvidence
	call := w.costs.cpu("peerCall").At(maxDigestMembers)
	stop := (w.vms - 1) * (2*w.value(w.in.MessageOverhead) + 2*w.messageBytes(true))
	return Role{
		Marker: "versions", Name: "Version controller", Implementation: "`changes`; `rollout.Controller`; evidence and stops in `Exchange`",
		FirstLimit: "evidence in the digests: it has arrived everywhere only after " + n(items/received) + " s and one hop, and a stop is told by one VM to all others",
		Rows: []Row{
			unboundedRow("Evidence items", items, Unitless, "%s VMs x %s routes x %s changes", n(w.vms), n(routes), n(changes)),
			w.memoryRow("Heap of the evidence", w.vms*changes*heap, "%s x %s x %s B", n(w.vms), n(changes), n(heap)),
			w.cpuRow("Tests", changes*changeTestsPerSecond*tick, "%s x 2/s x %s us", n(changes), n(tick*1e6)),
			unboundedRow("Time to receive all items once", items/received, Seconds, "%s / (%s messages/s x 12)", n(items), n(w.exchanges()*2)),
			excludeFromTotal(w.networkRow("Evidence in `Exchange`", w.exchanges()*4*min(items, maxDigestEvidence)*item, "%s messages/s x %s x %s B",
				n(w.exchanges()*4), n(min(items, maxDigestEvidence)), n(item))),
			unboundedRow("Bytes of one stop at its author", stop, Bytes, "%s peers x 2 x (%s + %s B)", n(w.vms-1), n(w.value(w.in.MessageOverhead)), n(w.messageBytes(true))),
			unboundedRow("Processor time of one stop, both sides", (w.vms-1)*call, Seconds, "%s x %s us", n(w.vms-1), n(call*1e6)),
		},
	}
}

// exchanges returns the exchanges that a VM starts per second. It answers the same number.
func (w workload) exchanges() float64 {
	local := min(localPartners, max(w.vmsPerDomain-1, 0))
	return roundsPerSecond * (local + min(remotePartners, w.domains-1))
}

// localShare returns the share of exchanges with VMs of the own domain.
func (w workload) localShare() float64 {
	local := min(localPartners, max(w.vmsPerDomain-1, 0))
	return local / (local + min(remotePartners, w.domains-1))
}

// shareRows returns the mean number of servers of which two VMs of a domain both have a share, up to the limit of a
// digest.
func (w workload) shareRows() float64 {
	// k VMs of a domain have a share of each server; pair is the probability that two given VMs are among them.
	k := min(w.value(w.in.LocalShareSlots), w.vmsPerDomain)
	pair := k * (k - 1) / (w.vmsPerDomain * (w.vmsPerDomain - 1))
	return min(maxDigestRows, (w.domainEngines+w.value(w.in.PlainServers))*pair)
}

// messageBytes returns the mean length of a message of the exchange, without its headers.
func (w workload) messageBytes(withEvidence bool) float64 {
	content := maxDigestMembers * w.costs.bytes("digestMembers").PerItem
	content += w.localShare() * w.shareRows() * w.costs.bytes("digestRows").PerItem
	content += (1 - w.localShare()) * min(maxDigestOffers, w.sharedEngines) * w.costs.bytes("digestOffers").PerItem
	if withEvidence {
		items := w.vms * w.value(w.in.Routes) * w.value(w.in.OpenChanges)
		content += min(items, maxDigestEvidence) * w.costs.bytes("digestEvidence").PerItem
	}
	return content
}

func (w workload) exchangeRole() Role {
	overhead := w.value(w.in.MessageOverhead)
	plain, full := w.messageBytes(false), w.messageBytes(true)
	messages := 4 * w.exchanges()
	// The benchmark counts the client and the server of a call. A VM is client and server of equally many.
	call := w.costs.cpu("peerCall").At(full / w.costs.bytes("digestMembers").PerItem)
	partners := w.costs.cpu("viewPartners").At(w.vms)
	// turnRounds is the number of rounds in which a VM starts an exchange with each other VM of its domain.
	turnRounds := math.Ceil(w.vmsPerDomain / localPartners)
	local := max(suspectSeconds, 2*turnRounds/roundsPerSecond)
	remote := max(2*suspectSeconds, w.vms*remoteSecondsPerVM)
	meetInterval := max(w.vmsPerDomain-1, 0) / (2 * min(localPartners, max(w.vmsPerDomain-1, 1)) * roundsPerSecond)
	return Role{
		Marker: "exchange", Name: "Peer exchange", Implementation: "`Exchange` every 500 ms with 3 peers of the domain and 1 of another; `membership.View`, shares, offers, suspects",
		FirstLimit: "the bytes of a message during a version change (" + n(full) + " B, against the 500 B that the design counts on); the number of messages doesn't grow",
		Rows: []Row{
			unboundedRow("Messages sent and received", messages, PerSec, "%s exchanges/s started, as many answered, 2 messages each", n(w.exchanges())),
			unboundedRow("Rows of shares per local message", w.shareRows(), Unitless, "(%s engines + %s plain servers) x pairs that share one", n(w.domainEngines), n(w.value(w.in.PlainServers))),
			excludeFromTotal(w.networkRow("Bytes without a version change", messages*(overhead+plain), "%s/s x (%s + %s B)", n(messages), n(overhead), n(plain))),
			w.networkRow("Bytes during version changes", messages*(overhead+full), "%s/s x (%s + %s B)", n(messages), n(overhead), n(full)),
			w.cpuRow("Calls and partners", w.exchanges()*call+roundsPerSecond*partners, "%s/s x %s us + 2/s x %s us", n(w.exchanges()), n(call*1e6), n(partners*1e6)),
			w.memoryRow("Heap of the view", w.costs.heap("members").At(w.vms), "%s x %s B", n(w.vms), n(w.costs.heap("members").PerItem)),
			unboundedRow("Time between two meetings of a pair of a domain", meetInterval, Seconds, "%s peers / (2 x 3 partners x 2/s)", n(w.vmsPerDomain-1)),
			unboundedRow("Silence until a VM of the domain is suspected", local, Seconds, "max(3 s, 2 turns of %s rounds)", n(turnRounds)),
			unboundedRow("Silence until a VM elsewhere is suspected", remote, Seconds, "max(6 s, %s x 0.1 s)", n(w.vms)),
		},
	}
}

// publicationBytes returns the length of the record of a publication with a number of teams, and that of its texts.
func (w workload) publicationBytes(teams float64) (record, text float64) {
	servers := w.value(w.in.Engines) + w.value(w.in.PlainServers)
	record = w.costs.bytes("publishServers").At(servers) + w.costs.bytes("publishTeams").PerItem*teams
	text = w.costs.bytes("textServers").At(servers) + w.costs.bytes("textTeams").PerItem*teams
	return record, text
}

// applyCPU returns the processor time of decoding a publication and of updating the routing table with it, in seconds.
func (w workload) applyCPU(teams float64) (fold, table float64) {
	servers := w.value(w.in.Engines) + w.value(w.in.PlainServers)
	fold = w.costs.cpu("foldPublishServers").At(servers) + w.costs.cpu("foldPublishTeams").PerItem*teams
	return fold, w.costs.cpu("tableSetServers").At(servers)
}

func (w workload) configurationRole() Role {
	rate := w.value(w.in.Publications) / secondsPerDay
	servers := w.value(w.in.Engines) + w.value(w.in.PlainServers)
	record, text := w.publicationBytes(w.value(w.in.Teams))
	recordAll, _ := w.publicationBytes(w.budgets)
	textAll := w.costs.bytes("textTeams").At(w.budgets)
	fold, table := w.applyCPU(w.value(w.in.Teams))
	foldAll, _ := w.applyCPU(w.budgets)
	heap := w.costs.heap("configServers").At(servers) + w.costs.heap("configTeams").PerItem*w.value(w.in.Teams)
	heapAll := w.costs.heap("configServers").At(servers) + w.costs.heap("configTeams").PerItem*w.budgets
	fixed := recordAll - w.costs.bytes("publishTeams").PerItem*w.budgets
	maxTeams := (maxCompressedBytes*base64Growth - fixed) / w.costs.bytes("publishTeams").PerItem
	const editSeconds = 10.0
	return Role{
		Marker: "configuration", Name: "Configuration", Implementation: "`config`, the whole text in each record, read by every VM; `config.History`, `GetConfig`",
		FirstLimit: "the size of one publication, since a budget is a `[team]` section: 640 KiB compressed hold " + n(maxTeams) + " of them next to " + n(servers) + " servers",
		Rows: []Row{
			unboundedRow("Publications", rate, PerSec, "%s / 86,400 s", n(w.value(w.in.Publications))),
			unboundedRow("Record with the teams", record, Bytes, "%s servers x %s B + %s teams x %s B", n(servers), n(w.costs.bytes("publishServers").PerItem), n(w.value(w.in.Teams)), n(w.costs.bytes("publishTeams").PerItem)),
			withOwnBound(maxCompressedBytes*base64Growth, unboundedRow("Record with a section per budget", recordAll, Bytes, "%s B + %s x %s B", n(fixed), n(w.budgets), n(w.costs.bytes("publishTeams").PerItem))),
			withOwnBound(maxTextBytes, unboundedRow("Rules text with a section per budget", textAll, Bytes, "%s x %s B", n(w.budgets), n(w.costs.bytes("textTeams").PerItem))),
			unboundedRow("Text that `GetConfig` sends, with the teams", text, Bytes, "as above with %s teams", n(w.value(w.in.Teams))),
			w.networkRow("Bytes read by each VM, with the teams", rate*record, "%s/s x %s B", n(rate), n(record)),
			excludeFromTotal(w.networkRow("Bytes read by each VM, with all budgets", rate*recordAll, "%s/s x %s B", n(rate), n(recordAll))),
			w.cpuRow("Parsing and applying, with the teams", rate*(fold+table), "%s/s x (%s + %s ms)", n(rate), n(fold*1e3), n(table*1e3)),
			excludeFromTotal(w.cpuRow("Parsing and applying, with all budgets", rate*(foldAll+table), "%s/s x (%s + %s ms)", n(rate), n(foldAll*1e3), n(table*1e3))),
			unboundedRow("Time under the lock of routing per publication", table, Seconds, "`Table.SetServers` with %s servers", n(servers)),
			w.memoryRow("Heap with the teams, two versions while one replaces the other", 2*heap, "2 x (%s x %s B + %s x %s B)", n(servers), n(w.costs.heap("configServers").PerItem), n(w.value(w.in.Teams)), n(w.costs.heap("configTeams").PerItem)),
			excludeFromTotal(w.memoryRow("Heap with all budgets, two versions", 2*heapAll, "2 x (%s x %s B + %s x %s B)", n(servers), n(w.costs.heap("configServers").PerItem), n(w.budgets), n(w.costs.heap("configTeams").PerItem))),
			unboundedRow("Comparisons of names in `removeUnlisted`, under the same lock", w.value(w.in.Engines)*w.value(w.in.Engines)/2, Unitless, "%s x %s / 2, by reading the code", n(w.value(w.in.Engines)), n(w.value(w.in.Engines))),
			unboundedRow("Chance that a publication loses the race, edited for 10 s", 1-math.Exp(-rate*editSeconds), Unitless, "1 - exp(-%s/s x 10 s), all operators at random times", n(rate)),
		},
	}
}

func (w workload) snapshotsRole() Role {
	lines := w.requests * budget.IdentityRetention.Seconds()
	perLine := w.costs.bytes("snapshotLines").PerItem
	snapshotBytes := lines*perLine + w.budgets*w.costs.bytes("snapshotBudgets").PerItem
	bills, grants, returns := w.ledgerAppends()
	entries := bills + grants + returns
	interval := snapshotEntries / entries
	parts := snapshotBytes / snapshotPartBytes
	// With more lines than this, writing a snapshot exceeds the memory bound of a VM.
	maxLines := w.value(w.in.MemoryBound) / (perLine * (1 + 2*base64Growth))
	return Role{
		Marker: "snapshots", Name: "Snapshots", Implementation: "`stream.Worker.writeSnapshot`: as a rule one VM, each 5,000 entries, whole state",
		FirstLimit: "memory: once " + n(maxLines) + " lines are remembered (" + n(maxLines/w.requests) + " s at this rate), state, encoding and queued parts are over the bound; then appends",
		Rows: []Row{
			unboundedRow("Entries of the ledger", entries, PerSec, "%s + %s of the ledger section", n(bills), n(grants+returns)),
			unboundedRow("Time between two snapshots without their own entries", interval, Seconds, "5,000 / %s/s", n(entries)),
			unboundedRow("Whole snapshot after 4 h", snapshotBytes, Bytes, "%s lines x %s B + %s budgets x %s B", n(lines), n(perLine), n(w.budgets), n(w.costs.bytes("snapshotBudgets").PerItem)),
			unboundedRow("Parts of one snapshot", parts, Unitless, "%s B / 256 KiB, one entry each", n(snapshotBytes)),
			excludeFromTotal(w.appendRow("Appends of snapshots by one VM, each 5,000 entries", parts/interval, "%s / %s s", n(parts), n(interval))),
			excludeFromTotal(w.memoryRow("Memory while a snapshot is written: state, encoding, queued parts", snapshotBytes*(1+2*base64Growth), "%s B x (1 + 2 x 4/3)", n(snapshotBytes))),
		},
	}
}

func (w workload) pollingRole() Role {
	overhead := w.value(w.in.MessageOverhead)
	lists := w.costs.bytes("vmList").At(w.vms) + w.costs.bytes("serverList").At(w.value(w.in.Engines)+w.value(w.in.PlainServers))
	listCPU := w.costs.cpu("readVMList").At(w.vms) + w.costs.cpu("readServerList").At(w.value(w.in.Engines)+w.value(w.in.PlainServers)) + w.costs.cpu("viewHints").At(w.vms)
	polls := w.domainEngines * loadPollsPerSecond
	report := w.costs.bytes("loadReports").PerItem
	poll := w.costs.cpu("loadPolls").PerItem / 2
	events := w.domainRequests * w.value(w.in.CacheEvents)
	event := w.costs.bytes("cacheEvents")
	// A long poll returns at the first event, so at these rates a page seldom holds more than one.
	pages := events + w.domainEngines*eventPollsPerSecond
	tick := w.costs.cpu("tableTick").At(w.domainEngines)
	client, conn := w.costs.heap("engineClients").PerItem, w.costs.heap("connections").PerItem/2
	table := w.costs.heap("localServers").Fixed + w.domainEngines*w.costs.heap("localServers").PerItem +
		(w.value(w.in.Engines)-w.domainEngines)*w.costs.heap("remoteServers").PerItem
	return Role{
		Marker: "polling", Name: "Lists, load reports, cache events", Implementation: "`vm.listLoop`, `serverController.pollLoad` and `pollCacheEvents` for each engine of the domain; `routing.Table`",
		FirstLimit: "polling of engines, at " + n(w.value(w.in.NetworkBound)/(loadPollsPerSecond*(report+2*overhead))) + " engines per domain for load reports alone; then the lists",
		Rows: []Row{
			w.networkRow("Lists of VMs and servers", listReadsPerSecond*(lists+4*overhead), "1/s x (%s B + 4 x %s B)", n(lists), n(overhead)),
			w.cpuRow("Lists, decoded and applied", listReadsPerSecond*listCPU, "1/s x %s ms", n(listCPU*1e3)),
			unboundedRow("Engines polled by each VM, of which it has a share", w.domainEngines, Unitless, "%s engines / %s domains; a share at %s", n(w.value(w.in.Engines)), n(w.domains), n(w.sharedEngines)),
			w.networkRow("Load reports", polls*(report+2*overhead), "%s/s x (%s + 2 x %s B)", n(polls), n(report), n(overhead)),
			w.cpuRow("Load reports", polls*poll, "%s/s x %s us (half of client and server)", n(polls), n(poll*1e6)),
			w.networkRow("Cache events", pages*(event.Fixed+2*overhead)+events*event.PerItem, "%s pages/s x (%s + 2 x %s B) + %s/s x %s B", n(pages), n(event.Fixed), n(overhead), n(events), n(event.PerItem)),
			w.cpuRow("Cache events", pages*poll, "%s/s x %s us, taken as for a load report", n(pages), n(poll*1e6)),
			w.cpuRow("Ticks of the table", tableTicksPerSecond*tick, "10/s x %s us", n(tick*1e6)),
			w.memoryRow("Heap of the table", table, "%s B + %s x %s B + others x %s B", n(w.costs.heap("localServers").Fixed), n(w.domainEngines), n(w.costs.heap("localServers").PerItem), n(w.costs.heap("remoteServers").PerItem)),
			w.memoryRow("Heap of the clients of all engines", w.value(w.in.Engines)*client, "%s x %s B", n(w.value(w.in.Engines)), n(client)),
			w.memoryRow("Connections of the polls, heap and stacks", 2*w.domainEngines*conn, "2 x %s x %s B (half of client and server)", n(w.domainEngines), n(conn)),
			unboundedRow("Polls that one engine serves", w.vmsPerDomain*(loadPollsPerSecond+w.requests/w.value(w.in.Engines)*w.value(w.in.CacheEvents)), PerSec, "%s VMs x (2 + %s events)/s", n(w.vmsPerDomain), n(w.requests/w.value(w.in.Engines))),
		},
	}
}

func (w workload) engineOrdersRole() Role {
	engines := w.value(w.in.Engines) / w.value(w.in.Models)
	return Role{
		Marker: "engine-orders", Name: "Engine orders", Implementation: "not built (`io/engine` has the client, nothing decides or sends)",
		FirstLimit: "not measured; the weight store is rate-limited, so its rate decides how long a version takes to load",
		Rows: []Row{
			unboundedRow("Engines that one version change loads", engines, Unitless, "%s / %s models", n(w.value(w.in.Engines)), n(w.value(w.in.Models))),
			unboundedRow("Rate at which an hour suffices", engines/3600, PerSec, "%s / 3,600 s", n(engines)),
		},
	}
}
