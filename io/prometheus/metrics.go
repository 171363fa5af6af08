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
)

// Names of the attributes. They are bounded sets: team names come from the rules, never from callers.
const (
	keyTeam    = attribute.Key("team")
	keyOutcome = attribute.Key("outcome")
	keyReason  = attribute.Key("reason")
	keyModel   = attribute.Key("model")
)

// firstTokenBounds are the histogram bounds in seconds; 0.38 s is the promise for 95 in 100.
var firstTokenBounds = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 5, 30}

// Gauges are values that are read when the endpoint is scraped; those that are nil are left out.
type Gauges struct {
	HeldBytes    func() int64
	OpenRequests func() int64
	PendingBills func() int64
	LivePeers    func() int64
	// FreeTokens are those that may be admitted here now, over all teams.
	FreeTokens func() int64
	// DroppedLines were left out of the log since the start.
	DroppedLines func() int64
}

// Metrics holds the instruments of one entry VM.
type Metrics struct {
	provider   *sdk.MeterProvider
	registry   *client.Registry
	requests   metric.Int64Counter
	refusals   metric.Int64Counter
	tokens     metric.Int64Counter
	firstToken metric.Float64Histogram
	retries    metric.Int64Counter
	appends    metric.Int64Counter
}

// New creates the instruments and registers the gauges.
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
	m.tokens, errs[2] = meter.Int64Counter("billed_tokens", metric.WithDescription("tokens billed by team"))
	m.firstToken, errs[3] = meter.Float64Histogram("first_token", metric.WithUnit("s"),
		metric.WithDescription("time to the first token"), metric.WithExplicitBucketBoundaries(firstTokenBounds...))
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
	all := []struct {
		name string
		read func() int64
	}{
		{"held_bytes", gauges.HeldBytes},
		{"open_requests", gauges.OpenRequests},
		{"pending_bills", gauges.PendingBills},
		{"live_peers", gauges.LivePeers},
		{"free_tokens", gauges.FreeTokens},
		{"log_lines_dropped", gauges.DroppedLines},
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

// Request counts a finished request.
func (m *Metrics) Request(team, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(keyTeam.String(team), keyOutcome.String(outcome)))
}

// Refusal counts a request that was refused before it ran.
func (m *Metrics) Refusal(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(keyReason.String(reason)))
}

// Billed counts billed tokens.
func (m *Metrics) Billed(team string, tokens uint64) {
	m.tokens.Add(context.Background(), int64(tokens), metric.WithAttributes(keyTeam.String(team)))
}

// FirstToken records the time from the arrival of a request to its first token.
func (m *Metrics) FirstToken(model string, elapsed time.Duration) {
	m.firstToken.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(keyModel.String(model)))
}

// Retry counts one further attempt.
func (m *Metrics) Retry() { m.retries.Add(context.Background(), 1) }

// Append counts one append.
func (m *Metrics) Append() { m.appends.Add(context.Background(), 1) }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close stops the provider.
func (m *Metrics) Close(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "stop metrics")
	}
	return nil
}
