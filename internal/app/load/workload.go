// Package load is an open-loop load generator: the workload and its seed define the send times, independent of response
// times. The content of every response is checked.
package load

import (
	"embed"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Kinds of requests.
const (
	KindChat       = "chat"
	KindCompletion = "completion"
	KindOrder      = "order"
)

// Sample is a workload for the classes and keys of the demo.
//
//go:embed sample.json
var Sample []byte

//go:embed workload.go
var source embed.FS

// Help returns a description of each field of the workload file.
func Help() string { return settings.Help[Workload](source) }

// Workload is the workload file.
type Workload struct {
	// Seed is the random seed for arrival times, prompts and lengths. Default 1.
	Seed int `json:"seed" default:"1" min:"0"`
	// Duration is the time during which requests are sent. Default "30s".
	Duration settings.Duration `json:"duration" default:"30s" min:"100ms" max:"24h"`
	// MaxInFlight limits the requests in flight; a request above the limit is counted as not sent. Default 4096.
	MaxInFlight int `json:"max_in_flight" default:"4096" min:"1" max:"100000" unit:"requests"`
	// Timeout is the timeout of one request. Default "5m".
	Timeout settings.Duration `json:"timeout" default:"5m" min:"100ms" max:"1h"`
	// Classes are the traffic sources.
	Classes []Class `json:"classes"`
}

// Class is one traffic source.
type Class struct {
	// Class is the value of the header Dragonflypin-Class.
	Class string `json:"class" format:"name"`
	// Workspaces are the workspaces; each request uses the key of one chosen at random.
	Workspaces []string `json:"workspaces"`
	// Kind is "chat", "completion" or "order". Default "chat".
	Kind string `json:"kind" default:"chat" oneof:"chat,completion,order"`
	// Model is the requested model; only for chat and completion.
	Model string `json:"model" optional:"true"`
	// Path is the path of an order, for example /services/order-svc/orders.
	Path string `json:"path" optional:"true"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `json:"rate" min:"0.001" max:"100000" unit:"requests per second"`
	// BurstEvery is the interval between the starts of two bursts; "0s" means no bursts. Default "0s".
	BurstEvery settings.Duration `json:"burst_every" default:"0s" min:"0s" max:"24h"`
	// BurstLength is the duration of a burst. Default "1s".
	BurstLength settings.Duration `json:"burst_length" default:"1s" min:"1ms" max:"24h"`
	// BurstFactor multiplies the rate during a burst. Default 3.
	BurstFactor float64 `json:"burst_factor" default:"3" min:"1" max:"1000"`
	// PrefixWords is the number of leading prompt words that all requests of a workspace share. Default 0.
	PrefixWords int `json:"prefix_words" default:"0" min:"0" max:"100000" unit:"words"`
	// PromptWords is the number of random words after the prefix. Default 30.
	PromptWords int `json:"prompt_words" default:"30" min:"1" max:"100000" unit:"words"`
	// MaxTokens is the maximum number of tokens in a response. Default 64.
	MaxTokens int `json:"max_tokens" default:"64" min:"1" max:"1048576" unit:"tokens"`
	// LongEvery makes a random one in LongEvery requests long; 0 means none. Default 0.
	LongEvery int `json:"long_every" default:"0" min:"0" max:"1000000" unit:"requests"`
	// LongFactor multiplies MaxTokens for long requests. Default 10.
	LongFactor int `json:"long_factor" default:"10" min:"1" max:"1000"`
	// Plain requests a response that is not streamed. Default false.
	Plain bool `json:"plain" default:"false"`
	// TTFTTarget is the target for the time to the first token. Default "600ms".
	TTFTTarget settings.Duration `json:"ttft_target" default:"600ms" min:"1ms" max:"1h"`
	// TokenTarget is the target for the mean time between tokens; "0s" means none. Default "52ms".
	TokenTarget settings.Duration `json:"token_target" default:"52ms" min:"0s" max:"1h"`
}

// Check validates the constraints between fields, which the settings loader does not check, and that every workspace has
// a key.
func (w *Workload) Check(keys map[string]string) error {
	if len(w.Classes) == 0 {
		return &settings.Error{Path: "classes", Problem: "must contain at least one class"}
	}
	for i, c := range w.Classes {
		path := fmt.Sprintf("classes[%d].", i)
		switch {
		case c.Kind == KindOrder && !strings.HasPrefix(c.Path, "/services/"):
			return &settings.Error{Path: path + "path", Value: fmt.Sprintf("%q", c.Path), Problem: "must begin with /services/ when kind is \"order\""}
		case c.Kind != KindOrder && c.Model == "":
			return &settings.Error{Path: path + "model", Problem: "is missing; it must name a model unless kind is \"order\""}
		case len(c.Workspaces) == 0:
			return &settings.Error{Path: path + "workspaces", Problem: "must contain at least one workspace"}
		}
		for _, workspace := range c.Workspaces {
			if keys[workspace] == "" {
				return &settings.Error{Path: path + "workspaces", Value: fmt.Sprintf("%q", workspace), Problem: "has no line \"key WORKSPACE KEY\" in the keys file"}
			}
		}
	}
	return nil
}

// request is one request of the schedule.
type request struct {
	// at is the scheduled send time, relative to the start of the run.
	at         time.Duration
	class      *Class
	classIndex int
	workspace  string
	prompt     string
	maxTokens  int
}

// schedule returns the requests in order of send time. It is deterministic for a given workload and seed.
func (w *Workload) schedule() []request {
	var all []request
	for i := range w.Classes {
		all = append(all, w.arrivals(i)...)
	}
	slices.SortStableFunc(all, func(a, b request) int { return int(a.at - b.at) })
	return all
}

// arrivals generates a non-homogeneous Poisson process by thinning: it draws arrivals at the peak rate and accepts each
// with the probability current rate / peak rate.
func (w *Workload) arrivals(i int) []request {
	c := &w.Classes[i]
	rng := rand.New(rand.NewPCG(uint64(w.Seed), uint64(i)+1))
	peak := c.Rate
	if c.BurstEvery > 0 {
		peak *= c.BurstFactor
	}
	var list []request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= time.Duration(w.Duration) {
			return list
		}
		if rng.Float64()*peak >= c.rateAt(at) {
			continue
		}
		list = append(list, c.request(rng, i, len(list), at))
	}
}

func (c *Class) rateAt(at time.Duration) float64 {
	if c.BurstEvery > 0 && at%time.Duration(c.BurstEvery) < time.Duration(c.BurstLength) {
		return c.Rate * c.BurstFactor
	}
	return c.Rate
}

func (c *Class) request(rng *rand.Rand, class, n int, at time.Duration) request {
	r := request{
		at: at, class: c, classIndex: class, maxTokens: c.MaxTokens,
		workspace: c.Workspaces[rng.IntN(len(c.Workspaces))],
	}
	if c.LongEvery > 0 && rng.IntN(c.LongEvery) == 0 {
		r.maxTokens *= c.LongFactor
	}
	var b strings.Builder
	for i := range c.PrefixWords {
		fmt.Fprintf(&b, "%s-%d ", r.workspace, i)
	}
	fmt.Fprintf(&b, "%s request %d", c.Class, n)
	for range c.PromptWords {
		fmt.Fprintf(&b, " w%d", rng.IntN(10000))
	}
	r.prompt = b.String()
	return r
}

// ParseKeys parses lines "key WORKSPACE KEY", as printed by the demo, and ignores other lines.
func ParseKeys(text string) map[string]string {
	keys := make(map[string]string)
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "key" {
			keys[fields[1]] = fields[2]
		}
	}
	return keys
}
