// Package metrics records the metrics of one process with OpenTelemetry and exposes them in the Prometheus format.
// Label values come only from the table, the settings and fixed sets, so that the number of time series is bounded.
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Histogram bucket bounds, in seconds. They include the strictest targets of the table as bounds: 0.6 s to the first token
// and 52 ms between tokens.
var (
	latencyBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10, 30, 60, 300, 600}
	gapBounds     = []float64{0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.052, 0.075, 0.1, 0.2, 0.5, 1, 5}
	callBounds    = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 5, 30}
)

// Metrics holds the instruments of one process. A nil *Metrics records nothing.
type Metrics struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	requests  metric.Int64Counter
	latency   metric.Float64Histogram
	ttft      metric.Float64Histogram
	tokenGap  metric.Float64Histogram
	queue     metric.Int64UpDownCounter
	queueWait metric.Float64Histogram
	refusals  metric.Int64Counter
	store     metric.Int64Counter
	storeTime metric.Float64Histogram
	sessions  metric.Int64UpDownCounter
	tokens    metric.Int64Counter
	version   metric.Int64Gauge
	era       metric.Int64Gauge
	held      metric.Int64Gauge
	limited   metric.Int64Gauge
	decision  metric.Float64Histogram
	duties    metric.Int64Gauge
	fence     metric.Int64Gauge
	windows   metric.Int64Counter
}

// New returns the Metrics of an instance.
func New(role, instance, zone string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", "dragonflypin-"+role),
		attribute.String("service.instance.id", instance),
		attribute.String("cloud.availability_zone", zone),
	)
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithResource(res)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if err := m.define(m.provider.Meter("dragonflypin")); err != nil {
		return nil, fmt.Errorf("create metrics: %w", err)
	}
	return m, nil
}

// builder creates instruments and records the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) recordError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	b.recordError(err)
	return c
}

func (b *builder) upDown(name, help string) metric.Int64UpDownCounter {
	c, err := b.meter.Int64UpDownCounter(name, metric.WithDescription(help))
	b.recordError(err)
	return c
}

func (b *builder) seconds(name, help string, bounds []float64) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	b.recordError(err)
	return h
}

func (m *Metrics) define(meter metric.Meter) error {
	b := &builder{meter: meter}
	m.requests = b.counter("dragonflypin.requests", "Requests that ended, by class, outcome and error code.")
	m.latency = b.seconds("dragonflypin.request.duration", "Time from acceptance to the last byte.", latencyBounds)
	m.ttft = b.seconds("dragonflypin.time.to.first.token", "Time from acceptance to the first byte of the answer.", latencyBounds)
	m.tokenGap = b.seconds("dragonflypin.token.gap", "Time between tokens of a stream.", gapBounds)
	m.queue = b.upDown("dragonflypin.queue.length", "Requests that wait now.")
	m.queueWait = b.seconds("dragonflypin.queue.wait", "Time that a request waited before it was started or refused.", latencyBounds)
	m.refusals = b.counter("dragonflypin.refusals", "Requests refused before an upstream started them, by reason.")
	m.store = b.counter("dragonflypin.store.calls", "Calls of the object API, by operation and result.")
	m.storeTime = b.seconds("dragonflypin.store.call.duration", "Time of a call of the object API.", callBounds)
	m.sessions = b.upDown("dragonflypin.sessions", "Open sessions by the other side's role.")
	m.tokens = b.counter("dragonflypin.tokens", "Generated tokens, useful or wasted.")
	m.decision = b.seconds("dragonflypin.routing.decision", "Time of one routing decision.", []float64{1e-6, 2e-6, 5e-6, 1e-5, 1e-4, 1e-3})
	version, err := meter.Int64Gauge("dragonflypin.table.version", metric.WithDescription("Table version in force."))
	b.recordError(err)
	m.version = version
	era, err := meter.Int64Gauge("dragonflypin.store.era", metric.WithDescription("Era of the store, which rises each time that it comes back from an older copy."))
	b.recordError(err)
	m.era = era
	held, err := meter.Int64Gauge("dragonflypin.quarantined.parts", metric.WithDescription("Prompt parts whose requests are refused because they crash replicas."))
	b.recordError(err)
	m.held = held
	limited, err := meter.Int64Gauge("dragonflypin.limited.replicas", metric.WithDescription("Replicas that have named a limit."))
	b.recordError(err)
	m.limited = limited
	duties, err := meter.Int64Gauge("dragonflypin.duties.holder", metric.WithDescription("1 while this edge holds the duties at the platform, 0 after that."))
	b.recordError(err)
	m.duties = duties
	fence, err := meter.Int64Gauge("dragonflypin.duties.fence", metric.WithDescription("Fencing number of this edge's last term as the holder of the duties."))
	b.recordError(err)
	m.fence = fence
	m.windows = b.counter("dragonflypin.usage.windows", "Windows whose usage this edge has reported in time or late, that were refused, or too old to report, by result.")
	return b.err
}

// ReadAhead makes the metrics show the memory in use for bodies that are read ahead, and how often there was not enough.
func (m *Metrics) ReadAhead(used, refused func() int64) error {
	if m == nil {
		return nil
	}
	meter := m.provider.Meter("dragonflypin")
	_, err := meter.Int64ObservableGauge("dragonflypin.read.ahead", metric.WithUnit("By"), metric.WithDescription("Memory in use for bodies that are read ahead."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(used()); return nil }))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("dragonflypin.read.ahead.refused", metric.WithDescription("Bodies for which there was not enough memory."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(refused()); return nil }))
	return err
}

// OtherEdges makes the metrics show how many other edges this one hears, and whether it hears none although the store names some.
func (m *Metrics) OtherEdges(heard func() int, alone func() bool) error {
	if m == nil {
		return nil
	}
	meter := m.provider.Meter("dragonflypin")
	_, err := meter.Int64ObservableGauge("dragonflypin.edges.heard", metric.WithDescription("Other edges whose reports arrive."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(int64(heard())); return nil }))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableGauge("dragonflypin.edges.alone", metric.WithDescription("1 while no other edge is heard although the store names some."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if alone() {
				o.Observe(1)
			} else {
				o.Observe(0)
			}
			return nil
		}))
	return err
}

// UsageCounts is what an edge has counted for the reports of usage, and exchanged with other edges.
type UsageCounts struct {
	// Counted is the number of requests that began, as this edge has counted them.
	Counted uint64
	// Windows is the number of windows whose counts are kept.
	Windows int
	// Age is the longest time since the last counts of a live edge.
	Age time.Duration
	// Messages and Bytes are what was sent to other edges.
	Messages, Bytes uint64
	// ClockError is the difference between the machine's time of day and the estimate of the true time.
	ClockError time.Duration
}

// ObserveUsageCounts makes the metrics show the counts for the reports of usage.
func (m *Metrics) ObserveUsageCounts(read func() UsageCounts) error {
	if m == nil {
		return nil
	}
	b := &builder{meter: m.provider.Meter("dragonflypin")}
	counter := func(name, help string) metric.Int64ObservableCounter {
		c, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(help))
		b.recordError(err)
		return c
	}
	seconds := func(name, help string) metric.Float64ObservableGauge {
		g, err := b.meter.Float64ObservableGauge(name, metric.WithUnit("s"), metric.WithDescription(help))
		b.recordError(err)
		return g
	}
	counted := counter("dragonflypin.usage.counted", "Requests that began to run, as this edge has counted them.")
	messages := counter("dragonflypin.usage.messages", "Datagrams with counts that were sent to other edges.")
	bytes := counter("dragonflypin.usage.message.bytes", "Bytes of the datagrams with counts that were sent to other edges.")
	age := seconds("dragonflypin.usage.counts.age", "Longest time since the last counts of a live edge that has sent any to this one.")
	clock := seconds("dragonflypin.clock.error", "Difference between the machine's time of day and the median of all edges.")
	windows, err := b.meter.Int64ObservableGauge("dragonflypin.usage.windows.kept", metric.WithDescription("Windows whose counts are kept."))
	b.recordError(err)
	if b.err != nil {
		return b.err
	}
	_, err = b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		u := read()
		o.ObserveInt64(counted, int64(u.Counted))
		o.ObserveInt64(messages, int64(u.Messages))
		o.ObserveInt64(bytes, int64(u.Bytes))
		o.ObserveInt64(windows, int64(u.Windows))
		o.ObserveFloat64(age, u.Age.Seconds())
		o.ObserveFloat64(clock, u.ClockError.Seconds())
		return nil
	}, counted, messages, bytes, age, clock, windows)
	return err
}

// UpstreamConnections makes the metrics show how many connections to replicas were opened and closed, by reason, and how many bodies ended with
// theirs, by what that meant. The functions call their argument with each reason and its number; the reasons are a fixed set.
func (m *Metrics) UpstreamConnections(opened, closed, bodies func(func(reason string, n int64))) error {
	if m == nil {
		return nil
	}
	meter := m.provider.Meter("dragonflypin")
	observe := func(each func(func(string, int64))) metric.Int64Callback {
		return func(_ context.Context, o metric.Int64Observer) error {
			each(func(reason string, n int64) { o.Observe(n, metric.WithAttributes(attribute.String("reason", reason))) })
			return nil
		}
	}
	_, err := meter.Int64ObservableCounter("dragonflypin.upstream.connections.opened", metric.WithDescription("Connections opened to replicas, by why none was in use again."),
		metric.WithInt64Callback(observe(opened)))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("dragonflypin.upstream.connections.closed", metric.WithDescription("Connections to replicas that were closed, by reason."),
		metric.WithInt64Callback(observe(closed)))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("dragonflypin.upstream.bodies.unframed", metric.WithDescription("Response bodies that ended with their connections, by what showed whether the replica had ended them."),
		metric.WithInt64Callback(observe(bodies)))
	return err
}

// AcceptedConnections makes the metrics show the accepted connections: the memory charged for them and their heads, their number by phase, and
// how many were closed, by reason.
func (m *Metrics) AcceptedConnections(charged func() int64, count, closed func() map[string]int64) error {
	if m == nil {
		return nil
	}
	meter := m.provider.Meter("dragonflypin")
	_, err := meter.Int64ObservableGauge("dragonflypin.accepted.charged", metric.WithUnit("By"), metric.WithDescription("Memory charged for accepted connections and their heads."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error { o.Observe(charged()); return nil }))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableGauge("dragonflypin.accepted", metric.WithDescription("Accepted connections, by phase."),
		metric.WithInt64Callback(observeBy("phase", count)))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableCounter("dragonflypin.accepted.closed", metric.WithDescription("Accepted connections that were closed for their limits or for others, by reason."),
		metric.WithInt64Callback(observeBy("reason", closed)))
	return err
}

// observeBy returns a callback that observes a value for each value of a label.
func observeBy(label string, values func() map[string]int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for name, value := range values() {
			o.Observe(value, metric.WithAttributes(attribute.String(label, name)))
		}
		return nil
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	if m == nil {
		return http.NotFoundHandler()
	}
	return m.handler
}

// Shutdown stops recording and releases the meter provider.
func (m *Metrics) Shutdown(ctx context.Context) error {
	if m == nil {
		return nil
	}
	return m.provider.Shutdown(ctx)
}

// Request describes a request that ended.
type Request struct {
	Class   string
	Outcome string
	// Code is the error code, or empty.
	Code string
	// Duration is the time from acceptance to the last byte.
	Duration time.Duration
	// FirstToken is the time from acceptance to the first byte of the response; 0 when no byte was sent.
	FirstToken time.Duration
}

// outcomeNotRun is the outcome of a request that no upstream started.
const outcomeNotRun = "not_run"

// Ended counts a request that ended. With the outcome not_run it also counts as a refusal, by its code.
func (m *Metrics) Ended(r Request) {
	if m == nil {
		return
	}
	ctx, class, outcome := context.Background(), attribute.String("class", r.Class), attribute.String("outcome", r.Outcome)
	m.requests.Add(ctx, 1, metric.WithAttributes(class, outcome, attribute.String("code", r.Code)))
	m.latency.Record(ctx, r.Duration.Seconds(), metric.WithAttributes(class, outcome))
	if r.Outcome == outcomeNotRun {
		m.refusals.Add(ctx, 1, metric.WithAttributes(class, attribute.String("reason", r.Code)))
	}
	if r.FirstToken > 0 {
		m.ttft.Record(ctx, r.FirstToken.Seconds(), metric.WithAttributes(class, outcome))
	}
}

// TokenGap records the time between two tokens of a stream.
func (m *Metrics) TokenGap(class string, d time.Duration) {
	if m == nil {
		return
	}
	m.tokenGap.Record(context.Background(), d.Seconds(), byClass(class))
}

// Enqueued adds one to the number of waiting requests.
func (m *Metrics) Enqueued(class string) {
	if m == nil {
		return
	}
	m.queue.Add(context.Background(), 1, byClass(class))
}

// Dequeued subtracts one from the number of waiting requests and records how long the request waited.
func (m *Metrics) Dequeued(class string, waited time.Duration) {
	if m == nil {
		return
	}
	m.queue.Add(context.Background(), -1, byClass(class))
	m.queueWait.Record(context.Background(), waited.Seconds(), byClass(class))
}

// StoreCall records a call to the object API. The result is "ok" or the kind of error.
func (m *Metrics) StoreCall(operation, result string, took time.Duration) {
	if m == nil {
		return
	}
	op := attribute.String("operation", operation)
	m.store.Add(context.Background(), 1, metric.WithAttributes(op, attribute.String("result", result)))
	m.storeTime.Record(context.Background(), took.Seconds(), metric.WithAttributes(op))
}

// Sessions changes the number of open sessions with processes of a role.
func (m *Metrics) Sessions(role string, change int) {
	if m == nil {
		return
	}
	m.sessions.Add(context.Background(), int64(change), metric.WithAttributes(attribute.String("role", role)))
}

// Tokens counts generated tokens, useful and wasted ones.
func (m *Metrics) Tokens(class string, useful, wasted int) {
	if m == nil {
		return
	}
	m.addTokens(class, "useful", useful)
	m.addTokens(class, "wasted", wasted)
}

func (m *Metrics) addTokens(class, use string, n int) {
	if n > 0 {
		m.tokens.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("class", class), attribute.String("use", use)))
	}
}

// TableVersion records the number of the table version in force.
func (m *Metrics) TableVersion(version uint64) {
	if m == nil {
		return
	}
	m.version.Record(context.Background(), int64(version))
}

// StoreEra records the era of the store.
func (m *Metrics) StoreEra(era uint64) {
	if m == nil {
		return
	}
	m.era.Record(context.Background(), int64(era))
}

// QuarantinedParts records the number of quarantined prompt parts.
func (m *Metrics) QuarantinedParts(n int) {
	if m == nil {
		return
	}
	m.held.Record(context.Background(), int64(n))
}

// LimitedReplicas records the number of replicas that have named a limit.
func (m *Metrics) LimitedReplicas(n int) {
	if m == nil {
		return
	}
	m.limited.Record(context.Background(), int64(n))
}

// DutyHolder records whether this edge holds the duties at the platform, and its fencing number.
func (m *Metrics) DutyHolder(holds bool, fence uint64) {
	if m == nil {
		return
	}
	value := int64(0)
	if holds {
		value = 1
	}
	m.duties.Record(context.Background(), value)
	m.fence.Record(context.Background(), int64(fence))
}

// UsageWindows counts windows by what became of their report.
func (m *Metrics) UsageWindows(result string, n int) {
	if m == nil {
		return
	}
	m.windows.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("result", result)))
}

// Decision records the duration of one routing decision.
func (m *Metrics) Decision(d time.Duration) {
	if m == nil {
		return
	}
	m.decision.Record(context.Background(), d.Seconds())
}

func byClass(class string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("class", class))
}
