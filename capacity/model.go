package capacity

import (
	"fmt"
	"math"
)

const secondsPerDay = 86_400.0

// workload holds the inputs of one deployment, the benchmarked costs, and rates and sizes derived from both.
type workload struct {
	in         Inputs
	costs      Costs
	deployment Deployment
	// vms and domains are numbers of entry VMs and failure domains, vmsPerDomain is the mean.
	vms, domains, vmsPerDomain float64
	// All rates are per second: requests and orders of the whole fleet, vmRequests of one VM, domainRequests of one
	// domain.
	requests, vmRequests, domainRequests, orders float64
	// domainEngines is the number of engines of one domain, sharedEngines how many of them one VM has a share of.
	domainEngines, sharedEngines float64
	budgets                      float64
	shares                       budgetShares
}

func newWorkload(in Inputs, costs Costs, deployment Deployment) workload {
	w := workload{in: in, costs: costs, deployment: deployment}
	w.vms = w.value(in.EntryVMs)
	w.domains = w.value(in.Domains)
	w.vmsPerDomain = w.vms / w.domains
	w.requests = w.value(in.Requests)
	w.vmRequests = w.requests / w.vms
	w.domainRequests = w.requests / w.domains
	w.orders = w.value(in.Orders)
	w.domainEngines = w.value(in.Engines) / w.domains
	w.sharedEngines = w.domainEngines * min(1, w.value(in.LocalShareSlots)/w.vmsPerDomain)
	w.budgets = w.value(in.Budgets)
	w.shares = zipfShares(int(w.budgets), w.value(in.ZipfExponent))
	return w
}

// value returns an input's value in this deployment.
func (w workload) value(i Input) float64 { return i.Values[w.deployment] }

// budgetShares is the fraction of all requests that each budget receives, largest first.
type budgetShares []float64

// zipfShares returns a Zipf distribution of requests over budgets.
func zipfShares(budgets int, exponent float64) budgetShares {
	t := make(budgetShares, budgets)
	sum := 0.0
	for i := range t {
		t[i] = math.Pow(float64(i+1), -exponent)
		sum += t[i]
	}
	for i := range t {
		t[i] /= sum
	}
	return t
}

func (t budgetShares) sum(f func(share float64) float64) float64 {
	total := 0.0
	for _, p := range t {
		total += f(p)
	}
	return total
}

// distinctBudgets returns the expected number of distinct budgets among n requests.
func (t budgetShares) distinctBudgets(n float64) float64 {
	return t.sum(func(p float64) float64 { return 1 - math.Exp(-p*n) })
}

// Row is one quantity of a role in one deployment.
type Row struct {
	Name string
	// Formula shows the arithmetic with the numbers of the deployment.
	Formula string
	Value   float64
	Unit    Unit
	// Bound is the largest allowed value, 0 if there is none.
	Bound float64
	// ExcludedFromTotal is set for rows that repeat a part of another row or apply only for a limited time. The total
	// excludes them.
	ExcludedFromTotal bool
}

// Unit says how a value is printed.
type Unit string

// Units of the rows.
const (
	Unitless    Unit = ""
	PerSec      Unit = "/s"
	Bytes       Unit = "B"
	BytesPerSec Unit = "B/s"
	Cores       Unit = "cores"
	Seconds     Unit = "s"
)

// Factor is the value over the bound, 0 without a bound.
func (r Row) Factor() float64 {
	if r.Bound == 0 {
		return 0
	}
	return r.Value / r.Bound
}

// Role is a part of the program with the quantities that its load consists of.
type Role struct {
	// Marker names the table in the page.
	Marker string
	Name   string
	// Implementation names the code and the streams that implement the role.
	Implementation string
	// FirstLimit says which limit is reached first and at what load.
	FirstLimit string
	Rows       []Row
}

// HighestRow returns the row with the highest factor.
func (r Role) HighestRow() Row {
	var highest Row
	for _, row := range r.Rows {
		if row.Factor() > highest.Factor() {
			highest = row
		}
	}
	return highest
}

func (w workload) cpuRow(name string, value float64, format string, args ...any) Row {
	return boundedRow(Cores, w.value(w.in.CPUBound), name, value, format, args...)
}

func (w workload) memoryRow(name string, value float64, format string, args ...any) Row {
	return boundedRow(Bytes, w.value(w.in.MemoryBound), name, value, format, args...)
}

func (w workload) networkRow(name string, value float64, format string, args ...any) Row {
	return boundedRow(BytesPerSec, w.value(w.in.NetworkBound), name, value, format, args...)
}

func (w workload) appendRow(name string, value float64, format string, args ...any) Row {
	return boundedRow(PerSec, w.value(w.in.MaxLogAppends), name, value, format, args...)
}

// boundedRow returns a row with a bound of its own.
func boundedRow(unit Unit, bound float64, name string, value float64, format string, args ...any) Row {
	return Row{Name: name, Formula: fmt.Sprintf(format, args...), Value: value, Unit: unit, Bound: bound}
}

// excludeFromTotal marks a row that the total leaves out.
func excludeFromTotal(r Row) Row {
	r.ExcludedFromTotal = true
	return r
}

func unboundedRow(name string, value float64, unit Unit, format string, args ...any) Row {
	return Row{Name: name, Formula: fmt.Sprintf(format, args...), Value: value, Unit: unit}
}

// n is a short name of formatNumber, which formulas call for each of their numbers.
func n(v float64) string { return formatNumber(v) }

// flushesPerSecond returns how many of the ticks per second have anything to flush, when events arrive at random at a
// rate and wait for the next tick.
func flushesPerSecond(rate, ticks float64) float64 { return ticks * (1 - math.Exp(-rate/ticks)) }

// roles returns all roles in the order of the page.
func (w workload) roles() []Role {
	return []Role{
		w.requestPathRole(), w.holdersRole(), w.ledgerRole(), w.ordersRole(), w.versionsRole(), w.exchangeRole(), w.configurationRole(),
		w.snapshotsRole(), w.pollingRole(), w.engineOrdersRole(),
	}
}
