package measure

import "time"

// Variation changes one column of one row of the class table.
type Variation struct {
	// Name is CLASS.COLUMN=VALUE.
	Name   string
	class  string
	change func(*class)
}

// Variations lists the variations shown in docs/operators/table.md.
func Variations() []Variation {
	return []Variation{
		{"none", "", nil},
		{"draft.weight=30", "draft", func(c *class) { c.Weight = 30 }},
		{"draft.priority=3", "draft", func(c *class) { c.Priority = 3 }},
		{"certificate.protected=false", "certificate", func(c *class) { c.Protected = false }},
		{"buyer.protected=true", "buyer", func(c *class) { c.Protected = true }},
		{"chat.ttft_target=3s", "chat", func(c *class) { c.TTFTTarget = 3 * time.Second }},
		{"reindex.max_wait=10s", "reindex", func(c *class) { c.MaxWait = 10 * time.Second }},
		{"chat.request_rate=10", "chat", func(c *class) { c.RequestRate = 10 }},
		{"chat.concurrency=60", "chat", func(c *class) { c.Concurrency = 60 }},
		{"packing.timeout=12s", "packing", func(c *class) { c.Timeout = 12 * time.Second }},
		{"packing.timeout=6s", "packing", func(c *class) { c.Timeout = 6 * time.Second }},
	}
}

// RunVariation runs the overload scenario with the changed row. The scenario of the returned lines is "crest:" followed
// by the variation's name.
func RunVariation(v Variation, seeds []uint64) []Line {
	for _, s := range scenarios() {
		if s.name != "crest" {
			continue
		}
		s.name += ":" + v.Name
		s.classes = workloadClasses()
		for i := range s.classes {
			if s.classes[i].Class == v.class {
				v.change(&s.classes[i])
			}
		}
		return measure(s, Dragonflypin, seeds)
	}
	return nil
}
