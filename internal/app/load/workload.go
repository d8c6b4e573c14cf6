// Package load is an open-loop load generator: requests are sent at the times that the workload and its seed define,
// however long the answers take, and every answer's content is checked.
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

// Kinds of request.
const (
	KindChat       = "chat"
	KindCompletion = "completion"
	KindOrder      = "order"
)

// Sample is a workload that fits the demo's table.
//
//go:embed sample.json
var Sample []byte

//go:embed workload.go
var source embed.FS

// Help describes the workload file.
func Help() string { return settings.Help[Workload](source) }

// Workload is the workload file.
type Workload struct {
	// Seed selects arrival times, prompts and lengths. Default 1.
	Seed int `json:"seed" default:"1" min:"0"`
	// Duration is the time during which requests are sent. Default "30s".
	Duration settings.Duration `json:"duration" default:"30s" min:"100ms" max:"24h"`
	// MaxInFlight bounds the open requests; a request beyond it is counted as not sent. Default 4096.
	MaxInFlight int `json:"max_in_flight" default:"4096" min:"1" max:"100000" unit:"requests"`
	// Timeout bounds one request. Default "5m".
	Timeout settings.Duration `json:"timeout" default:"5m" min:"100ms" max:"1h"`
	// Classes are the sources of requests.
	Classes []Class `json:"classes"`
}

// Class is one source of requests.
type Class struct {
	// Class is sent in the header Dragonflypin-Class.
	Class string `json:"class" format:"name"`
	// Workspaces are the workspaces whose keys are used in turn, at random.
	Workspaces []string `json:"workspaces"`
	// Kind is "chat", "completion" or "order". Default "chat".
	Kind string `json:"kind" default:"chat" oneof:"chat,completion,order"`
	// Model is the model asked for; only for chat and completion.
	Model string `json:"model" optional:"true"`
	// Path is the path of an order, for example /services/order-svc/orders.
	Path string `json:"path" optional:"true"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `json:"rate" min:"0.001" max:"100000" unit:"requests per second"`
	// BurstEvery is the time from the start of one burst to the next; "0s" means no bursts. Default "0s".
	BurstEvery settings.Duration `json:"burst_every" default:"0s" min:"0s" max:"24h"`
	// BurstLength is the length of a burst. Default "1s".
	BurstLength settings.Duration `json:"burst_length" default:"1s" min:"1ms" max:"24h"`
	// BurstFactor multiplies the rate during a burst. Default 3.
	BurstFactor float64 `json:"burst_factor" default:"3" min:"1" max:"1000"`
	// PrefixWords is the number of leading prompt words that all requests of a workspace share. Default 0.
	PrefixWords int `json:"prefix_words" default:"0" min:"0" max:"100000" unit:"words"`
	// PromptWords is the number of further prompt words. Default 30.
	PromptWords int `json:"prompt_words" default:"30" min:"1" max:"100000" unit:"words"`
	// MaxTokens bounds an answer. Default 64.
	MaxTokens int `json:"max_tokens" default:"64" min:"1" max:"1048576" unit:"tokens"`
	// LongEvery makes one request in LongEvery long; 0 means none. Default 0.
	LongEvery int `json:"long_every" default:"0" min:"0" max:"1000000" unit:"requests"`
	// LongFactor multiplies MaxTokens of a long request. Default 10.
	LongFactor int `json:"long_factor" default:"10" min:"1" max:"1000"`
	// Plain asks for an answer that is not streamed. Default false.
	Plain bool `json:"plain" default:"false"`
	// TTFTTarget is the target for the time to the first token. Default "600ms".
	TTFTTarget settings.Duration `json:"ttft_target" default:"600ms" min:"1ms" max:"1h"`
	// TokenTarget is the target for the mean time between tokens; "0s" means none. Default "52ms".
	TokenTarget settings.Duration `json:"token_target" default:"52ms" min:"0s" max:"1h"`
}

// Check reports rules between fields that the settings loader does not know.
func (w *Workload) Check(keys map[string]string) error {
	if len(w.Classes) == 0 {
		return &settings.Error{Path: "classes", Problem: "must hold at least one class"}
	}
	for i, c := range w.Classes {
		path := fmt.Sprintf("classes[%d].", i)
		switch {
		case c.Kind == KindOrder && !strings.HasPrefix(c.Path, "/services/"):
			return &settings.Error{Path: path + "path", Value: fmt.Sprintf("%q", c.Path), Problem: "must begin with /services/ when kind is \"order\""}
		case c.Kind != KindOrder && c.Model == "":
			return &settings.Error{Path: path + "model", Problem: "is missing; it must name a model unless kind is \"order\""}
		case len(c.Workspaces) == 0:
			return &settings.Error{Path: path + "workspaces", Problem: "must hold at least one workspace"}
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
	// at is the time from the start of the run.
	at        time.Duration
	class     *Class
	index     int
	workspace string
	prompt    string
	maxTokens int
}

// schedule returns the requests in the order of their time. The same workload gives the same schedule.
func (w *Workload) schedule() []request {
	var all []request
	for i := range w.Classes {
		all = append(all, w.arrivals(i)...)
	}
	slices.SortStableFunc(all, func(a, b request) int { return int(a.at - b.at) })
	return all
}

// arrivals draws a Poisson process at the highest rate and keeps each arrival with the share of the rate at its time.
func (w *Workload) arrivals(i int) []request {
	c := &w.Classes[i]
	rng := rand.New(rand.NewPCG(uint64(w.Seed), uint64(i)+1))
	highest := c.Rate
	if c.BurstEvery > 0 {
		highest *= c.BurstFactor
	}
	var list []request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / highest * float64(time.Second))
		if at >= time.Duration(w.Duration) {
			return list
		}
		if rng.Float64()*highest >= c.rateAt(at) {
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
		at: at, class: c, index: class, maxTokens: c.MaxTokens,
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

// ParseKeys reads the lines "key WORKSPACE KEY", as the demo prints them; other lines are ignored.
func ParseKeys(text string) map[string]string {
	keys := make(map[string]string)
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "key" {
			keys[fields[1]] = fields[2]
		}
	}
	return keys
}
