// Package prometheus exposes the OpenTelemetry metrics of one process in the Prometheus text format.
package prometheus

import (
	"context"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"ibiswinch/core/connections"
)

// Attribute keys. Each has a limited set of values: team names come from the rules, never from callers.
const (
	attrTeam    = attribute.Key("team")
	attrOutcome = attribute.Key("outcome")
	attrReason  = attribute.Key("reason")
	attrModel   = attribute.Key("model")
)

// firstTokenBuckets are the histogram bucket bounds in seconds; 0.38 s is the target for the 95th percentile.
var firstTokenBuckets = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 5, 30}

// Gauges are functions that return the current values of gauges. They are called at each scrape; a nil one is left out.
type Gauges struct {
	HeldBytes    func() int64
	OpenRequests func() int64
	PendingBills func() int64
	LivePeers    func() int64
	// RememberedOrders is the number of orders that are remembered.
	RememberedOrders func() int64
	// FreeTokens is the number of tokens that this entry VM may admit now, over all teams.
	FreeTokens func() int64
	// DroppedLines is the number of log lines dropped since the start.
	DroppedLines func() int64
	// CallerConnections are the numbers of connections of callers, WideBufferBytes the memory of wide receive buffers.
	CallerConnections func() connections.Counts
	WideBufferBytes   func() int64
	// EvacuatedDomains is the number of evacuated failure domains, EvacuatedCalls that of the calls that still run there.
	EvacuatedDomains func() int64
	EvacuatedCalls   func() int64
}

// Metrics holds the instruments of one entry VM.
type Metrics struct {
	provider     *sdk.MeterProvider
	registry     *client.Registry
	requests     metric.Int64Counter
	refusals     metric.Int64Counter
	billedTokens metric.Int64Counter
	firstToken   metric.Float64Histogram
	retries      metric.Int64Counter
	appends      metric.Int64Counter
}

// New returns metrics with all instruments registered.
func New(gauges Gauges) (*Metrics, error) {
	registry := client.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry), prometheus.WithNamespace("ibiswinch"))
	if err != nil {
		return nil, eris.Wrap(err, "create exporter")
	}
	m := &Metrics{provider: sdk.NewMeterProvider(sdk.WithReader(exporter)), registry: registry}
	if err := m.register(m.provider.Meter("ibiswinch"), gauges); err != nil {
		return nil, eris.Wrap(err, "register instruments")
	}
	return m, nil
}

func (m *Metrics) register(meter metric.Meter, gauges Gauges) error {
	var errs [6]error
	m.requests, errs[0] = meter.Int64Counter("requests", metric.WithDescription("requests by outcome"))
	m.refusals, errs[1] = meter.Int64Counter("refusals", metric.WithDescription("requests refused before they ran, by reason"))
	m.billedTokens, errs[2] = meter.Int64Counter("billed_tokens", metric.WithDescription("tokens billed by team"))
	m.firstToken, errs[3] = meter.Float64Histogram("first_token", metric.WithUnit("s"),
		metric.WithDescription("time to the first token"), metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
	m.retries, errs[4] = meter.Int64Counter("retries", metric.WithDescription("attempts after the first one"))
	m.appends, errs[5] = meter.Int64Counter("appends", metric.WithDescription("appends to the platform's log"))
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return registerGauges(meter, gauges)
}

func registerGauges(meter metric.Meter, gauges Gauges) error {
	countOf := func(of func(connections.Counts) int) func() int64 {
		if gauges.CallerConnections == nil {
			return nil
		}
		return func() int64 { return int64(of(gauges.CallerConnections())) }
	}
	all := []struct {
		name string
		read func() int64
	}{
		{"held_bytes", gauges.HeldBytes},
		{"open_requests", gauges.OpenRequests},
		{"pending_bills", gauges.PendingBills},
		{"live_peers", gauges.LivePeers},
		{"remembered_orders", gauges.RememberedOrders},
		{"free_tokens", gauges.FreeTokens},
		{"log_lines_dropped", gauges.DroppedLines},
		{"evacuated_domains", gauges.EvacuatedDomains},
		{"evacuated_calls", gauges.EvacuatedCalls},
		{"caller_connections", countOf(func(n connections.Counts) int { return n.Open })},
		{"caller_connections_closed", countOf(func(n connections.Counts) int { return n.Closed })},
		{"caller_connections_refused", countOf(func(n connections.Counts) int { return n.Refused })},
		{"wide_buffer_bytes", gauges.WideBufferBytes},
	}
	for _, g := range all {
		if g.read == nil {
			continue
		}
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.read())
			return nil
		}
		if _, err := meter.Int64ObservableGauge(g.name, metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

// CountRequest counts a finished request.
func (m *Metrics) CountRequest(team, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attrTeam.String(team), attrOutcome.String(outcome)))
}

// CountRefusal counts a request that was refused before it ran.
func (m *Metrics) CountRefusal(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attrReason.String(reason)))
}

// AddBilledTokens counts billed tokens.
func (m *Metrics) AddBilledTokens(team string, tokens uint64) {
	m.billedTokens.Add(context.Background(), int64(tokens), metric.WithAttributes(attrTeam.String(team)))
}

// ObserveFirstToken records the time from the arrival of a request to its first token.
func (m *Metrics) ObserveFirstToken(model string, elapsed time.Duration) {
	m.firstToken.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attrModel.String(model)))
}

// CountRetry counts one attempt after the first one of a request.
func (m *Metrics) CountRetry() { m.retries.Add(context.Background(), 1) }

// CountAppend counts one append to the platform's log.
func (m *Metrics) CountAppend() { m.appends.Add(context.Background(), 1) }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts the meter provider down.
func (m *Metrics) Close(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "stop metrics")
	}
	return nil
}
