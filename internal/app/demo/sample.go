package demo

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Owners in the demo.
const (
	ownerJadestone = "jadestone"
	ownerFurano    = "furano"
)

// Models of the two engine services.
const (
	modelTile   = "tile-lm"
	modelSachet = "sachet-lm"
)

// engineSlots is the maximum batch size of each engine.
const engineSlots = 8

// upstreamService is a service of the demo. Its replicas are assigned to the zones round-robin.
type upstreamService struct {
	name, owner, kind, model string
	replicas                 int
	zones                    []string
}

var (
	zonesTaiwan = []string{"tw-central-a", "tw-central-b", "tw-central-c"}
	zonesDochu  = []string{"dochu-a", "dochu-b", "dochu-c"}
)

var services = []upstreamService{
	{name: "lm-pool", owner: ownerJadestone, kind: settings.KindEngine, model: modelTile, replicas: 4, zones: zonesTaiwan},
	{name: "order-svc", owner: ownerJadestone, kind: settings.KindPlain, replicas: 2, zones: zonesTaiwan},
	{name: "sachetlm", owner: ownerFurano, kind: settings.KindEngine, model: modelSachet, replicas: 3, zones: zonesDochu},
	{name: "allotdesk", owner: ownerFurano, kind: settings.KindPlain, replicas: 2, zones: zonesDochu},
}

// entryZones are the zones of the entries, one entry each.
var entryZones = []string{"tw-central-a", "dochu-a"}

// workspaceNames are the workspaces by owner; the first few are large.
var workspaceNames = map[string][]string{
	ownerJadestone: {
		"shop-taipei", "shop-kyoto", "shop-tainan", "shop-hualien", "shop-taichung", "shop-keelung", "shop-osaka", "shop-hsinchu",
		"shop-chiayi", "shop-yilan",
	},
	ownerFurano: {
		"furano-east", "biei-hills", "furano-west", "kamifurano", "nakafurano", "minamifurano", "shimukappu", "biei-station",
		"asahikawa-hall", "sapporo-office",
	},
}

// classNames are the classes that the workspaces of an owner may use, by owner; the first is the default.
var classNames = map[string][]string{
	ownerJadestone: {"tilemend-chat", "tilemend-suggest", "tilemend-draft", "tile-order", "batch"},
	ownerFurano:    {"buyer-answer", "certificate", "packing-note", "bud-booking", "batch"},
}

// rows are the rows of the sample table. Priority 1 is reserved for each owner's protected class, whose requests must not
// be lost.
var rows = []table.Row{
	{
		Class: "tilemend-suggest", Owner: ownerJadestone, Priority: 1, Weight: 100, Protected: true,
		TTFTTarget: 600 * time.Millisecond, TokenTarget: 52 * time.Millisecond, MaxWait: 5 * time.Second, Timeout: 2 * time.Minute,
	},
	{
		Class: "tilemend-chat", Owner: ownerJadestone, Priority: 2, Weight: 100,
		TTFTTarget: time.Second, TokenTarget: 80 * time.Millisecond, MaxWait: 20 * time.Second, Timeout: 5 * time.Minute,
	},
	{
		Class: "tilemend-draft", Owner: ownerJadestone, Priority: 4, Weight: 50,
		TTFTTarget: 3 * time.Second, TokenTarget: 120 * time.Millisecond, MaxWait: 30 * time.Second, Timeout: 10 * time.Minute,
	},
	{
		Class: "tile-order", Owner: ownerJadestone, Priority: 2, Weight: 100,
		TTFTTarget: time.Second, MaxWait: 10 * time.Second, Timeout: 30 * time.Second,
	},
	{
		Class: "certificate", Owner: ownerFurano, Priority: 1, Weight: 100, Protected: true,
		TTFTTarget: 600 * time.Millisecond, TokenTarget: 52 * time.Millisecond, MaxWait: 5 * time.Second, Timeout: 2 * time.Minute,
	},
	{
		Class: "buyer-answer", Owner: ownerFurano, Priority: 2, Weight: 100,
		TTFTTarget: time.Second, TokenTarget: 80 * time.Millisecond, MaxWait: 20 * time.Second, Timeout: 5 * time.Minute,
	},
	{
		Class: "packing-note", Owner: ownerFurano, Priority: 5, Weight: 50,
		TTFTTarget: 10 * time.Second, MaxWait: 30 * time.Second, Timeout: 10 * time.Minute,
	},
	{
		Class: "bud-booking", Owner: ownerFurano, Priority: 2, Weight: 100,
		TTFTTarget: time.Second, MaxWait: 10 * time.Second, Timeout: 30 * time.Second,
	},
	{
		Class: "batch", Owner: ownerJadestone, Shared: true, Priority: 8, Weight: 10,
		TTFTTarget: time.Minute, MaxWait: time.Minute, Timeout: 15 * time.Minute,
	},
}
