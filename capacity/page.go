package capacity

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMissingMarker is returned for a page without the markers of a table. Compare it with eris.Is.
var ErrMissingMarker = eris.New("page lacks a marker")

// formatNumber prints three significant digits, with separators or a unit prefix for large numbers.
func formatNumber(v float64) string {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return "?"
	case math.Abs(v) >= 1e12:
		return threeDigits(v/1e12) + " T"
	case math.Abs(v) >= 1e9:
		return threeDigits(v/1e9) + " G"
	case math.Abs(v) >= 1e7:
		return threeDigits(v/1e6) + " M"
	case math.Abs(v) >= 1e4:
		return withSeparators(roundThreeDigits(v))
	case math.Abs(v) >= 1000 || v == math.Trunc(v) && math.Abs(v) >= 1:
		return withSeparators(math.Round(v))
	}
	return threeDigits(v)
}

func roundThreeDigits(v float64) float64 {
	step := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-2)
	return math.Round(v/step) * step
}

func threeDigits(v float64) string {
	if v == 0 {
		return "0"
	}
	decimals := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	if decimals > 6 {
		return strconv.FormatFloat(v, 'e', 2, 64)
	}
	s := strconv.FormatFloat(v, 'f', decimals, 64)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return s
}

func withSeparators(v float64) string {
	s := strconv.FormatFloat(v, 'f', 0, 64)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

func (r Row) format(v float64) string {
	if r.Unit == Cores {
		return threeDigits(100*v) + "% of a core"
	}
	if r.Unit != Bytes && r.Unit != BytesPerSec {
		return strings.TrimSpace(formatNumber(v) + " " + string(r.Unit))
	}
	unit := string(r.Unit)
	for _, p := range []struct {
		size   float64
		prefix string
	}{{1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "K"}} {
		if v >= p.size {
			return threeDigits(v/p.size) + " " + p.prefix + unit
		}
	}
	return threeDigits(v) + " " + unit
}

// Report is the result of the model for all deployments.
type Report struct {
	in         Inputs
	costs      Costs
	roles      [deployments][]Role
	worstCases [deployments][]Role
	// proposals are those for the target deployment.
	proposals []Proposal
}

// NewReport computes the model for all deployments.
func NewReport(in Inputs, costs Costs) Report {
	r := Report{in: in, costs: costs}
	for d := range deployments {
		w := newWorkload(in, costs, d)
		r.roles[d] = w.roles()
		r.worstCases[d] = w.worstCases()
		// The last deployment is the target.
		r.proposals = w.proposals()
	}
	return r
}

// Tables returns all generated tables with their markers.
func (r Report) Tables() []Table {
	tables := []Table{{"summary", r.summary()}, {"inputs", r.inputs()}, {"slopes", r.slopes()}, {"total", r.total()}}
	for _, all := range [][deployments][]Role{r.roles, r.worstCases} {
		for i, role := range all[DeploymentTarget] {
			tables = append(tables, Table{role.Marker, roleTable(all[DeploymentA][i], all[DeploymentB][i], role)})
		}
	}
	for _, d := range r.proposals {
		tables = append(tables, Table{d.Marker, proposalTable(d)})
	}
	return tables
}

// Table is a generated text that replaces what is between its two markers in the page.
type Table struct {
	Marker string
	Text   string
}

func boundSummary(row Row) string {
	switch f := row.Factor(); {
	case f == 0:
		return "no bound"
	case f <= 1:
		return fmt.Sprintf("fits: %s%% of the bound (%s)", threeDigits(100*f), row.Name)
	default:
		return fmt.Sprintf("**%s x** over (%s)", formatNumber(f), row.Name)
	}
}

func (r Report) summary() string {
	var b strings.Builder
	b.WriteString("| Role | Implementation | First limit | (a) | (b) | Target |\n| --- | --- | --- | --- | --- | --- |\n")
	for i, role := range r.roles[DeploymentTarget] {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", role.Name, role.Implementation, role.FirstLimit,
			boundSummary(r.roles[DeploymentA][i].HighestRow()), boundSummary(r.roles[DeploymentB][i].HighestRow()), boundSummary(role.HighestRow()))
	}
	return b.String()
}

func (r Report) inputs() string {
	var b strings.Builder
	b.WriteString("| Input | Unit | (a) | (b) | Target | Source |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, in := range r.in.List() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", in.Name, in.Unit,
			formatNumber(in.Values[DeploymentA]), formatNumber(in.Values[DeploymentB]), formatNumber(in.Values[DeploymentTarget]), in.Source)
	}
	return b.String()
}

func (r Report) slopes() string {
	var b strings.Builder
	b.WriteString("| Benchmark | Measures | Sizes: values | Fixed | Per item | Largest deviation |\n| --- | --- | --- | --- | --- | --- |\n")
	for i, s := range r.costs.series {
		var points []string
		for _, p := range s.Points {
			points = append(points, formatNumber(p.Items)+": "+formatNumber(p.Value))
		}
		line := r.costs.fits[i]
		fmt.Fprintf(&b, "| `Benchmark%s/kind=%s` | %s | %s | %s | %s | %s%% |\n", s.Benchmark, s.Kind, s.Metric,
			strings.Join(points, "; "), formatNumber(line.Fixed), formatNumber(line.PerItem), formatNumber(math.Round(100*line.Deviation(s.Points))))
	}
	return b.String()
}

// sumRows adds the bounded rows of a unit, without variants: the load of one entry VM, or that of the platform if the
// unit is PerSec.
func sumRows(rows []Row, unit Unit) Row {
	total := Row{Unit: unit}
	for _, row := range rows {
		if row.Unit == unit && row.Bound != 0 && !row.ExcludedFromTotal {
			total.Value += row.Value
			total.Bound = row.Bound
		}
	}
	return total
}

func allRows(roles []Role) []Row {
	var rows []Row
	for _, r := range roles {
		rows = append(rows, r.Rows...)
	}
	return rows
}

// total compares the sums per resource with their bounds, for the current code and with all proposals implemented.
func (r Report) total() string {
	var b strings.Builder
	b.WriteString("| In all | (a) | (b) | Target | Bound | Factor | Target with all proposals, not built | Factor |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	var proposalRows []Row
	for _, d := range r.proposals {
		proposalRows = append(proposalRows, d.Rows...)
	}
	for _, resource := range []struct {
		name string
		unit Unit
	}{{"Processor of a VM", Cores}, {"Memory of a VM", Bytes}, {"Network of a VM", BytesPerSec}, {"Appends of the fleet", PerSec}} {
		rowA, rowB := sumRows(allRows(r.roles[DeploymentA]), resource.unit), sumRows(allRows(r.roles[DeploymentB]), resource.unit)
		target, proposed := sumRows(allRows(r.roles[DeploymentTarget]), resource.unit), sumRows(proposalRows, resource.unit)
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", resource.name, rowA.format(rowA.Value), rowB.format(rowB.Value),
			target.format(target.Value), target.format(target.Bound), formatNumber(target.Factor()), proposed.format(proposed.Value), formatNumber(proposed.Factor()))
	}
	return b.String()
}

func proposalTable(d Proposal) string {
	var s strings.Builder
	title := "Not built"
	if d.Marker == unchangedMarker {
		title = "Unchanged"
	}
	fmt.Fprintf(&s, "| %s | Arithmetic at the target | Target | Bound | Factor |\n| --- | --- | --- | --- | --- |\n", title)
	for _, row := range d.Rows {
		bound, factor := row.formatBound()
		fmt.Fprintf(&s, "| %s | %s | %s | %s | %s |\n", row.Name, row.Formula, row.format(row.Value), bound, factor)
	}
	return s.String()
}

// formatBound formats the bound and the factor. Both are empty for a row without a bound.
func (r Row) formatBound() (bound, factor string) {
	if r.Bound == 0 {
		return "", ""
	}
	return r.format(r.Bound), formatNumber(r.Factor())
}

func roleTable(a, b, target Role) string {
	var s strings.Builder
	s.WriteString("| Quantity | Arithmetic at the target | (a) | (b) | Target | Bound | Factor |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for i, row := range target.Rows {
		bound, factor := row.formatBound()
		fmt.Fprintf(&s, "| %s | %s | %s | %s | %s | %s | %s |\n", row.Name, row.Formula, row.format(a.Rows[i].Value),
			row.format(b.Rows[i].Value), row.format(row.Value), bound, factor)
	}
	return s.String()
}

const (
	beginMarker = "<!-- begin generated: %s -->\n"
	endMarker   = "<!-- end generated: %s -->\n"
)

// ReplaceTables replaces the text between the markers of each table.
func ReplaceTables(page string, tables []Table) (string, error) {
	for _, t := range tables {
		begin, end := fmt.Sprintf(beginMarker, t.Marker), fmt.Sprintf(endMarker, t.Marker)
		from := strings.Index(page, begin)
		to := strings.Index(page, end)
		if from < 0 || to < from {
			return "", eris.Wrapf(ErrMissingMarker, "replace table %s", t.Marker)
		}
		page = page[:from] + begin + "\n" + t.Text + "\n" + page[to:]
	}
	return page, nil
}

// GeneratePage returns the page with its tables computed from the benchmark output.
func GeneratePage(page string, bench io.Reader) (string, error) {
	series, err := ReadBenchOutput(bench)
	if err != nil {
		return "", err
	}
	costs, err := NewCosts(series)
	if err != nil {
		return "", err
	}
	return ReplaceTables(page, NewReport(DefaultInputs(), costs).Tables())
}
